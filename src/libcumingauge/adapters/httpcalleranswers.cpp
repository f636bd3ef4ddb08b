// Writing of answers to a caller, and closing of its connection. The requests
// are read in httpcallersession.cpp.
#include "adapters/httpcall.h"
#include "adapters/httpcallersession.h"
#include "adapters/httptext.h"
#include "adapters/httpworker.h"
#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace cumingauge::adapters {

using boost::system::error_code;
using model::ResultCode;
using traffic::ConnectionEnd;
using traffic::Framing;

namespace {

/// The last piece of an answer is copied behind the head, and both are sent in
/// one write, if it has at most this many bytes.
constexpr std::size_t MaxCopiedBytes = 16384;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;
constexpr unsigned StatusUnauthorized = 401;

const char *reasonPhrase(unsigned Status) {
  switch (Status) {
  case 400:
    return "Bad Request";
  case StatusUnauthorized:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Payload Too Large";
  case 417:
    return "Expectation Failed";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Internal Server Error";
  }
}

std::string formatResultCode(ResultCode Code) {
  return std::to_string(static_cast<int>(Code)) + " " +
         std::string(model::nameOf(Code));
}

/// Returns whole seconds without decimals and others with three, such as
/// "0.050". Callers that read only whole seconds ignore the decimals.
std::string formatSeconds(model::milliseconds Value) {
  if (Value.count() % 1000 == 0)
    return std::to_string(Value.count() / 1000);
  std::string Millis = std::to_string(Value.count() % 1000);
  Millis.insert(0, 3 - Millis.size(), '0');
  return std::to_string(Value.count() / 1000) + "." + Millis;
}

} // namespace

/// Refuses the request that is being read when the process takes no further
/// ones. Returns whether it did.
bool HttpCallerSession::refuseWhileStopping() {
  if (Worker_.takesRequests())
    return false;
  refuseRequest(ResultCode::NotRunStopping);
  return true;
}

void HttpCallerSession::refuseRequest(ResultCode Code) {
  endRequest(Worker_.refusalCode(Code));
}

/// Answers a request that is not read to its end, and closes the connection.
void HttpCallerSession::endRequest(ResultCode Code) {
  Worker_.recordRefusedRequest(Reader_.head(), Code, Reader_.errorText());
  IsRefused_ = true;
  KeepAlive_ = false;
  IsHeadRequest_ = Reader_.head().IsHead_;
  CallId_.clear();
  HasCallEnded_ = true;
  Incoming_.reset();
  Reader_.release();
  Phase_ = Phase::Call;
  answer(Code, model::milliseconds(0));
}

void HttpCallerSession::refuseStreamedRequest(ResultCode Code) {
  const auto Call = std::move(Call_);
  PieceHandler_ = nullptr;
  Call_ = nullptr;
  if (Call)
    Call->onCallerLeft();
  if (AnswerStarted_)
    return abortAnswer();
  // A part of the request was sent to a server, so that it may have run.
  endRequest(Code);
}

/// Ends a call that a server may run already. The states of its attempts decide
/// whether the code is true.
void HttpCallerSession::giveUpCall(ResultCode Code) {
  PieceHandler_ = nullptr;
  if (const auto Call = Call_)
    Call->giveUpRequest(Code);
}

void HttpCallerSession::answer(ResultCode Code,
                               model::milliseconds RetryAfter) {
  if (Phase_ != Phase::Call || AnswerStarted_)
    return;
  AnswerStarted_ = true;
  const unsigned Status = model::httpStatusOf(Code);
  const std::string Text = formatResultCode(Code);
  KeepAlive_ = RequestComplete_ && !endsAfterAnswer();
  Outgoing_ +=
      "HTTP/1.1 " + std::to_string(Status) + " " + reasonPhrase(Status);
  Outgoing_ += "\r\n";
  const traffic::Dialect &Names = Worker_.dialect();
  appendHeader(Outgoing_, Names.ResultCode_, Text);
  if (!CallId_.empty())
    appendHeader(Outgoing_, Names.CallId_, CallId_);
  const model::milliseconds Wait =
      std::max(RetryAfter, Worker_.limits().RetryAfter_);
  if (model::isNotRun(Code) && Wait > model::milliseconds(0))
    appendHeader(Outgoing_, "Retry-After", formatSeconds(Wait));
  if (Status == StatusUnauthorized)
    appendHeader(Outgoing_, "WWW-Authenticate", Names.KeyScheme_);
  appendHeader(Outgoing_, "Content-Type", "text/plain");
  appendFraming(Outgoing_, Framing::Length, Text.size() + 1);
  appendConnectionFields();
  Outgoing_ += "\r\n";
  if (!IsHeadRequest_)
    Outgoing_ += Text + "\n";
  AnswerComplete_ = true;
  write();
}

/// Tells the caller that the connection closes, or how long it may be idle.
void HttpCallerSession::appendConnectionFields() {
  if (!KeepAlive_)
    return appendHeader(Outgoing_, "Connection", "close");
  IdleTerms_ = policy::idleTerms(Worker_.limits().IdleTimeout_);
  if (IdleTerms_.Told_ == model::seconds(0))
    return;
  appendHeader(Outgoing_, "Connection", "keep-alive");
  appendHeader(Outgoing_, "Keep-Alive",
               "timeout=" + std::to_string(IdleTerms_.Told_.count()));
}

void HttpCallerSession::forwardHead(const traffic::AnswerHead &Head) {
  if (Phase_ != Phase::Call)
    return;
  AnswerStarted_ = true;
  KeepAlive_ = RequestComplete_ && !endsAfterAnswer();
  OmitsBody_ = IsHeadRequest_ || Head.Status_ == StatusNoContent ||
               Head.Status_ == StatusNotModified;
  ChunkedAnswer_ = Head.Framing_ == Framing::Chunked && ChunksAllowed_;
  Outgoing_ += "HTTP/1.1 " + std::to_string(Head.Status_) + " ";
  Outgoing_.append(Head.Reason_).append("\r\n").append(Head.Fields_);
  appendHeader(Outgoing_, Worker_.dialect().ResultCode_,
               formatResultCode(ResultCode::Ok));
  appendHeader(Outgoing_, Worker_.dialect().CallId_, CallId_);
  if (Head.Framing_ != Framing::Chunked || ChunksAllowed_)
    appendFraming(Outgoing_, Head.Framing_, Head.Length_);
  appendConnectionFields();
  Outgoing_ += "\r\n";
}

bool HttpCallerSession::forwardBody(std::string_view Bytes, bool Last,
                                    std::function<void()> Done) {
  if (Phase_ != Phase::Call)
    return false;
  if (OmitsBody_)
    Bytes = {};
  if (ChunkedAnswer_ && !OmitsBody_ && !Bytes.empty())
    appendChunkHead(Outgoing_, Bytes.size());
  const bool Copied = Last && Bytes.size() <= MaxCopiedBytes;
  if (Copied)
    Outgoing_.append(Bytes);
  else
    Piece_ = Bytes;
  Tail_.clear();
  if (ChunkedAnswer_ && !OmitsBody_)
    appendChunkTail(Copied ? Outgoing_ : Tail_, !Bytes.empty(), Last);
  AnswerComplete_ = Last;
  if (!Copied)
    PieceDone_ = std::move(Done);
  write();
  return Copied;
}

void HttpCallerSession::abortAnswer() {
  if (Phase_ != Phase::Call)
    return;
  // Without chunks, the answer may end with the connection and would look
  // whole.
  if (!ChunksAllowed_)
    return reset(ConnectionEnd::AnswerBroken);
  if (hasOutput())
    write(); // the head shows that there was an answer
  lingerClose(ConnectionEnd::AnswerBroken);
  dropCalls();
}

void HttpCallerSession::write() {
  if (WriteInProgress_ || Phase_ == Phase::Closed)
    return;
  WriteInProgress_ = true;
  WriteBuffer_.swap(Outgoing_);
  Outgoing_.clear();
  WriteTail_.swap(Tail_);
  Tail_.clear();
  WriteDone_ = std::exchange(PieceDone_, nullptr);
  setTimeout(Worker_.limits().WriteTimeout_);
  WrittenPieceBytes_ = Piece_.size();
  const std::array<boost::asio::const_buffer, 3> Buffers = {
      boost::asio::buffer(WriteBuffer_),
      boost::asio::buffer(std::exchange(Piece_, {})),
      boost::asio::buffer(WriteTail_)};
  boost::asio::async_write(
      Socket_, Buffers,
      [Self = shared_from_this()](error_code Error, std::size_t) {
        Self->onWritten(Error);
      });
  updateMemory();
}

void HttpCallerSession::onWritten(error_code Error) {
  WriteInProgress_ = false;
  WrittenPieceBytes_ = 0;
  const auto Done = std::exchange(WriteDone_, nullptr);
  if (Phase_ == Phase::Closed || Phase_ == Phase::Closing)
    return;
  if (Error)
    return close(ConnectionEnd::CallerClosed);
  if (Phase_ == Phase::Call)
    TimeoutAt_ = model::TimePoint::max();
  if (Done)
    Done();
  if (!WriteInProgress_ && hasOutput())
    return write();
  if (!WriteInProgress_)
    releaseOutput();
  finishAnswer();
  updateMemory();
}

void HttpCallerSession::onCallEnded() {
  HasCallEnded_ = true;
  Call_ = nullptr;
  PieceHandler_ = nullptr;
  CallTimerAt_ = model::TimePoint::max();
  finishAnswer();
}

void HttpCallerSession::finishAnswer() {
  if (Phase_ != Phase::Call || !AnswerComplete_ || !HasCallEnded_ ||
      WriteInProgress_)
    return;
  ++RequestsServed_;
  // Only an answer that said so ends the connection: the caller may have sent
  // its next request already.
  if (KeepAlive_)
    nextRequest();
  else
    lingerClose(IsRefused_ ? ConnectionEnd::Refused : ConnectionEnd::Announced);
}

void HttpCallerSession::nextRequest() {
  Phase_ = Phase::Head;
  IdleSince_ = Worker_.now();
  AnswerStarted_ = false;
  AnswerComplete_ = false;
  HasCallEnded_ = false;
  OmitsBody_ = false;
  ChunkedAnswer_ = false;
  BodyBytes_ = 0;
  if (!PipelinedCalls_.empty())
    return answerNextCall();
  RequestSince_ = Worker_.now();
  setTimeout(Reader_.hasPartialRequest() ? Worker_.limits().HeadTimeout_
                                         : Worker_.limits().IdleTimeout_);
  const auto DeferredStep = std::exchange(DeferredStep_, std::nullopt);
  if (!DeferredStep || handleStep(*DeferredStep))
    advance();
}

void HttpCallerSession::recordProcessEnd() {
  decideEnd(ConnectionEnd::ProcessEnded);
  if (Call_)
    Worker_.recordAbandonedCall(*Call_);
  for (const PipelinedCall &Waiting : PipelinedCalls_)
    if (const auto Call = Waiting.Answer_->call())
      Worker_.recordAbandonedCall(*Call);
}

void HttpCallerSession::close(ConnectionEnd End) {
  decideEnd(End);
  finishClose();
}

/// Closes the socket once the reason is known.
void HttpCallerSession::finishClose() {
  if (Phase_ == Phase::Closed)
    return;
  Phase_ = Phase::Closed;
  Timer_.cancel();
  error_code Ignored;
  Socket_.close(Ignored);
  WriteDone_ = nullptr;
  dropCalls();
  Worker_.removeSession(*this);
}

void HttpCallerSession::reset(ConnectionEnd End) {
  error_code Ignored;
  Socket_.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  close(End);
}

/// Ends the calls whose answers cannot be sent any more.
void HttpCallerSession::dropCalls() {
  PieceHandler_ = nullptr;
  PieceDone_ = nullptr;
  const auto Call = std::move(Call_);
  Call_ = nullptr;
  if (Call)
    Call->onCallerLeft();
  for (const PipelinedCall &Dropped : std::exchange(PipelinedCalls_, {}))
    Dropped.Answer_->cancel();
}

} // namespace cumingauge::adapters
