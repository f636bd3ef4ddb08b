// The answers to a caller and the end of its connection.
#include "adapters/httpcall.h"
#include "adapters/httpcallersession.h"
#include "adapters/httptext.h"
#include "adapters/httpworker.h"
#include <array>
#include <boost/asio/write.hpp>
#include <utility>

namespace cumingauge::adapters {

using boost::asio::ip::tcp;
using boost::system::error_code;
using model::ResultCode;
using traffic::Framing;

namespace {

constexpr model::milliseconds LingerTimeout{1000};
/// Pieces of an answer up to this size are copied and written in one go.
constexpr std::size_t CopiedPieceBytes = 16384;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned StatusNotModified = 304;

const char *reasonOf(unsigned Status) {
  switch (Status) {
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Payload Too Large";
  case 417:
    return "Expectation Failed";
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

std::string codeText(ResultCode Code) {
  return std::to_string(static_cast<int>(Code)) + " " +
         std::string(model::nameOf(Code));
}

/// With fractions, which callers that know only whole seconds leave aside.
std::string secondsText(model::milliseconds Value) {
  std::string Millis = std::to_string(Value.count() % 1000);
  Millis.insert(0, 3 - Millis.size(), '0');
  return std::to_string(Value.count() / 1000) + "." + Millis;
}

} // namespace

void HttpCallerSession::refuseRequest(ResultCode Code) {
  Worker_.recordRefusedRequest(Reader_.head().CallId_, Reader_.head().Target_,
                               Code);
  KeepAlive_ = false;
  ToHead_ = Reader_.head().IsHead_;
  CallId_.clear();
  CallEnded_ = true;
  Incoming_.reset();
  Phase_ = Phase::Call;
  answer(Code);
}

void HttpCallerSession::refuseStreaming(ResultCode Code) {
  const auto Call = std::move(Call_);
  Puller_ = nullptr;
  Call_ = nullptr;
  if (Call)
    Call->onCallerLeft();
  if (AnswerBegun_)
    return breakOff();
  refuseRequest(Code);
}

void HttpCallerSession::answer(ResultCode Code) {
  if (Phase_ != Phase::Call || AnswerBegun_)
    return;
  AnswerBegun_ = true;
  const unsigned Status = model::httpStatusOf(Code);
  const std::string Text = codeText(Code);
  KeepAlive_ = RequestRead_ && !endsAfterAnswer();
  Out_ += "HTTP/1.1 " + std::to_string(Status) + " " + reasonOf(Status);
  Out_ += "\r\n";
  const traffic::Dialect &Names = Worker_.dialect();
  appendHeader(Out_, Names.ResultCode_, Text);
  if (!CallId_.empty())
    appendHeader(Out_, Names.CallId_, CallId_);
  const model::milliseconds Pause = Worker_.limits().RetryAfter_;
  if (model::isNotRun(Code) && Pause > model::milliseconds(0))
    appendHeader(Out_, "Retry-After", secondsText(Pause));
  appendHeader(Out_, "Content-Type", "text/plain");
  appendFraming(Out_, Framing::Length, Text.size() + 1);
  if (!KeepAlive_)
    appendHeader(Out_, "Connection", "close");
  Out_ += "\r\n";
  if (!ToHead_)
    Out_ += Text + "\n";
  AnswerDone_ = true;
  write();
}

void HttpCallerSession::forwardHead(const traffic::AnswerHead &Head) {
  if (Phase_ != Phase::Call)
    return;
  AnswerBegun_ = true;
  KeepAlive_ = RequestRead_ && !endsAfterAnswer();
  BodyHidden_ = ToHead_ || Head.Status_ == StatusNoContent ||
                Head.Status_ == StatusNotModified;
  ChunkedAnswer_ = Head.Framing_ == Framing::Chunked && ChunksAllowed_;
  Out_ += "HTTP/1.1 " + std::to_string(Head.Status_) + " ";
  Out_.append(Head.Reason_).append("\r\n").append(Head.Fields_);
  appendHeader(Out_, Worker_.dialect().ResultCode_, codeText(ResultCode::Ok));
  appendHeader(Out_, Worker_.dialect().CallId_, CallId_);
  if (Head.Framing_ != Framing::Chunked || ChunksAllowed_)
    appendFraming(Out_, Head.Framing_, Head.Length_);
  if (!KeepAlive_)
    appendHeader(Out_, "Connection", "close");
  Out_ += "\r\n";
}

bool HttpCallerSession::forwardBody(std::string_view Bytes, bool Last,
                                    std::function<void()> Done) {
  if (Phase_ != Phase::Call)
    return false;
  if (BodyHidden_)
    Bytes = {};
  if (ChunkedAnswer_ && !BodyHidden_ && !Bytes.empty())
    appendChunkHead(Out_, Bytes.size());
  const bool Copied = Last && Bytes.size() <= CopiedPieceBytes;
  if (Copied)
    Out_.append(Bytes);
  else
    Piece_ = Bytes;
  Tail_.clear();
  if (ChunkedAnswer_ && !BodyHidden_)
    appendChunkTail(Copied ? Out_ : Tail_, !Bytes.empty(), Last);
  AnswerDone_ = Last;
  if (!Copied)
    PieceDone_ = std::move(Done);
  write();
  return Copied;
}

void HttpCallerSession::breakOff() {
  if (Phase_ == Phase::Closed)
    return;
  error_code Ignored;
  Socket_.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  close();
}

void HttpCallerSession::write() {
  if (Busy_ || Phase_ == Phase::Closed)
    return;
  Busy_ = true;
  Writing_.swap(Out_);
  Out_.clear();
  setLimit(Worker_.limits().WriteTimeout_);
  const std::array<boost::asio::const_buffer, 3> Buffers = {
      boost::asio::buffer(Writing_), boost::asio::buffer(Piece_),
      boost::asio::buffer(Tail_)};
  boost::asio::async_write(
      Socket_, Buffers,
      [Self = shared_from_this()](error_code Error, std::size_t) {
        Self->onWritten(Error);
      });
}

void HttpCallerSession::onWritten(error_code Error) {
  Busy_ = false;
  Piece_ = {};
  if (Phase_ == Phase::Closed)
    return;
  if (Error)
    return close();
  if (Phase_ == Phase::Call)
    Limit_ = model::TimePoint::max();
  const auto Done = std::move(PieceDone_);
  PieceDone_ = nullptr;
  if (Done)
    Done();
  if (!Busy_ && !Out_.empty())
    return write();
  finishAnswer();
}

void HttpCallerSession::endCall() {
  CallEnded_ = true;
  Call_ = nullptr;
  Puller_ = nullptr;
  Alarm_ = model::TimePoint::max();
  finishAnswer();
}

void HttpCallerSession::finishAnswer() {
  if (Phase_ != Phase::Call || !AnswerDone_ || !CallEnded_ || Busy_)
    return;
  if (KeepAlive_ && !endsAfterAnswer())
    nextRequest();
  else
    lingerClose();
}

void HttpCallerSession::nextRequest() {
  Phase_ = Phase::Head;
  AnswerBegun_ = false;
  AnswerDone_ = false;
  CallEnded_ = false;
  BodyHidden_ = false;
  ChunkedAnswer_ = false;
  BodyBytes_ = 0;
  if (!Ahead_.empty())
    return takeTurn();
  setLimit(Reader_.isInside() ? Worker_.limits().HeadTimeout_
                              : Worker_.limits().IdleTimeout_);
  const auto Waiting = std::exchange(Waiting_, std::nullopt);
  if (!Waiting || takeStep(*Waiting))
    advance();
}

void HttpCallerSession::lingerClose() {
  // Closing with unread bytes would make the network drop the answer.
  Phase_ = Phase::Closing;
  error_code Ignored;
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  setLimit(LingerTimeout);
  read();
}

/// A request that crosses this close is not read: the connection then ends at
/// once, so that its caller may send it elsewhere.
void HttpCallerSession::closeUnasked() {
  Unasked_ = true;
  lingerClose();
}

void HttpCallerSession::close() {
  if (Phase_ == Phase::Closed)
    return;
  Phase_ = Phase::Closed;
  Timer_.cancel();
  error_code Ignored;
  Socket_.close(Ignored);
  Puller_ = nullptr;
  PieceDone_ = nullptr;
  const auto Call = std::move(Call_);
  Call_ = nullptr;
  if (Call)
    Call->onCallerLeft();
  for (const CallAhead &Dropped : std::exchange(Ahead_, {}))
    Dropped.Answer_->drop();
  Worker_.removeSession(*this);
}

} // namespace cumingauge::adapters
