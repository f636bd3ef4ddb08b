// Reading of a caller's requests. The answers are written in
// httpcalleranswers.cpp.
#include "adapters/httpcallersession.h"
#include "adapters/httpcall.h"
#include "adapters/httpworker.h"
#include <algorithm>
#include <utility>

namespace cumingauge::adapters {

using boost::asio::ip::tcp;
using boost::system::error_code;
using model::ResultCode;
using traffic::ConnectionEnd;

namespace {

/// Bytes of pipelined requests that are read while a call runs.
constexpr std::size_t MaxPipelinedBytes = 16384;
/// Pipelined calls of one connection that run while an earlier one is not yet
/// answered: more than callers usually pipeline, but few enough that a single
/// caller cannot occupy all servers.
constexpr std::size_t MaxPipelinedCalls = 8;
/// Bytes after which a connection that is closing is not read on.
constexpr std::size_t MaxDiscardedBytes = 1048576;

/// Appends to a text that takes little more memory than it holds. Strings would
/// double it.
void appendTightly(std::string &To, std::string_view Bytes) {
  const std::size_t Needed = To.size() + Bytes.size();
  if (Needed > To.capacity()) {
    std::string Larger;
    Larger.reserve(Needed + Needed / 4);
    Larger.append(To);
    To.swap(Larger);
  }
  To.append(Bytes);
}

/// Returns whether a request has a form in which it can run beside others.
bool canRunConcurrently(const traffic::RequestHead &Head) {
  const bool HasNoBody =
      Head.Framing_ == traffic::Framing::None ||
      (Head.Framing_ == traffic::Framing::Length && Head.Length_ == 0);
  return HasNoBody && !Head.ExpectsContinue_ && !Head.IsHead_ && !Head.Http10_;
}

} // namespace

HttpCallerSession::HttpCallerSession(tcp::socket Socket, HttpWorker &Worker)
    : Socket_(std::move(Socket)), Timer_(Socket_.get_executor()),
      Worker_(Worker), Reader_(Worker.limits().HeaderBytes_, Worker.dialect()),
      Memory_(Worker.callerMemory()), IdleSince_(Worker.now()),
      WaitsSince_(IdleSince_), TimeoutAt_(model::TimePoint::max()),
      CallTimerAt_(model::TimePoint::max()),
      TimerSetFor_(model::TimePoint::max()) {
  error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
  Socket_.non_blocking(true, Ignored); // for readRest()
  const auto Remote = Socket_.remote_endpoint(Ignored);
  if (!Ignored) {
    Peer_ = Remote.address().to_string();
    PeerPort_ = Remote.port();
  }
}

HttpCallerSession::~HttpCallerSession() = default;

void HttpCallerSession::start() {
  if (Phase_ != Phase::Head)
    return; // refused while it was held
  setTimeout(Worker_.limits().IdleTimeout_);
  read();
  updateMemory();
}

void HttpCallerSession::refuseConnection(ResultCode Code) {
  refuseRequest(Code);
}

void HttpCallerSession::startDraining() {
  Draining_ = true;
  const model::TimePoint Latest = Worker_.answerBy();
  if (const auto Call = Call_)
    Call->limitDeadline(Latest);
  for (const PipelinedCall &Waiting : PipelinedCalls_)
    if (const auto Call = Waiting.Answer_->call())
      Call->limitDeadline(Latest);
}

void HttpCallerSession::refuseFurtherRequests() {
  if (Phase_ == Phase::KeptBody)
    return refuseRequest(ResultCode::NotRunStopping);
  if (Phase_ == Phase::Head && !Reader_.hasPartialRequest() &&
      !WriteInProgress_)
    closeIdle(ConnectionEnd::Stopping);
}

// Reading.

void HttpCallerSession::read() {
  if (ReadInProgress_ || Phase_ == Phase::Closed)
    return;
  ReadInProgress_ = true;
  Socket_.async_read_some(
      Reader_.prepare(),
      [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->ReadInProgress_ = false;
        Self->onRead(Error, Bytes);
      });
}

void HttpCallerSession::onRead(error_code Error, std::size_t Bytes) {
  if (Phase_ == Phase::Closed)
    return;
  if (ClosingIdle_ && Error == boost::asio::error::operation_aborted)
    return finishClosingIdle();
  ClosingIdle_.reset();
  if (Error)
    return close(ConnectionEnd::CallerClosed);
  const std::size_t Limit = Reader_.readSize();
  const bool IsFull = Bytes == Reader_.prepare().size();
  if (Phase_ == Phase::Closing)
    return discard(Bytes + (IsFull ? readRest(Limit) : 0));
  if (Phase_ == Phase::Head && !Reader_.hasPartialRequest()) {
    setTimeout(Worker_.limits().HeadTimeout_);
    RequestSince_ = WaitsSince_;
  }
  Reader_.setHeaderLimit(Worker_.limits().HeaderBytes_);
  Reader_.commit(Bytes);
  if (IsFull && Limit > Bytes) {
    const std::size_t More = readRest(Limit - Bytes);
    Reader_.append({Worker_.readBuffer().data(), More});
  }
  handleBytes();
  updateMemory();
}

/// Reads what else has arrived into the buffer that the connections share.
/// Returns 0 when nothing has; the next read reports a fault or an end.
std::size_t HttpCallerSession::readRest(std::size_t Limit) {
  std::vector<char> &Target = Worker_.readBuffer();
  if (Target.size() < Limit)
    Target.resize(Limit);
  error_code Ignored;
  return Socket_.read_some(boost::asio::buffer(Target.data(), Limit), Ignored);
}

void HttpCallerSession::handleBytes() {
  if (PieceHandler_)
    return streamBody();
  if (Phase_ != Phase::Call)
    return advance();
  startPipelinedCalls();
  if (Reader_.buffered() < MaxPipelinedBytes && RequestComplete_)
    read();
}

/// Passes over bytes that arrive after the connection was closed.
void HttpCallerSession::discard(std::size_t Bytes) {
  DiscardedBytes_ += Bytes;
  if (!std::exchange(DiscardLogged_, true))
    recordDiscardedBytes(Bytes);
  if (DiscardedBytes_ > MaxDiscardedBytes)
    return finishClose();
  read();
}

void HttpCallerSession::advance() {
  if (Advancing_)
    return;
  Advancing_ = true;
  while ((Phase_ == Phase::Head || Phase_ == Phase::KeptBody) &&
         handleStep(Reader_.next()))
    ;
  Advancing_ = false;
}

bool HttpCallerSession::handleStep(ReadStep Step) {
  switch (Step) {
  case ReadStep::NeedMore:
    if (Phase_ == Phase::KeptBody)
      setTimeout(Worker_.limits().BodyTimeout_);
    read();
    return false;
  case ReadStep::Head:
    return handleHead();
  case ReadStep::Body:
    return handleBodyPiece();
  case ReadStep::End:
    dispatch(/*Complete=*/true);
    return false;
  case ReadStep::Failed:
    refuseRequest(Reader_.error());
    return false;
  }
  return false;
}

bool HttpCallerSession::handleHead() {
  if (refuseWhileStopping())
    return false;
  if (!Worker_.hasMemoryForRequest()) {
    refuseRequest(ResultCode::NotRunMemory);
    return false;
  }
  const traffic::RequestHead &Head = Reader_.head();
  Incoming_ = std::make_unique<HttpCallRequest>();
  Incoming_->Arrived_ =
      std::exchange(FirstArrival_, std::nullopt).value_or(Worker_.now());
  const auto Admission = Worker_.admitRequest(Head);
  if (!Admission.Route_) {
    refuseRequest(Admission.Reason_);
    return false;
  }
  Incoming_->Route_ = Admission.Route_;
  Incoming_->Identity_ = Admission.Identity_;
  Incoming_->ConfigVersion_ = Admission.ConfigVersion_;
  MaxBodyBytes_ = Admission.Route_->MaxBodyBytes_;
  if (Head.Length_ > MaxBodyBytes_) {
    refuseRequest(ResultCode::RequestBodyTooLarge);
    return false;
  }
  if (Head.ExpectsContinue_) {
    Outgoing_ = "HTTP/1.1 100 Continue\r\n\r\n";
    write();
  }
  Phase_ = Phase::KeptBody;
  if (Head.Length_ <= Worker_.limits().KeptBodyBytes_)
    return true;
  dispatch(/*Complete=*/false);
  return false;
}

bool HttpCallerSession::handleBodyPiece() {
  BodyBytes_ += Reader_.body().size();
  if (BodyBytes_ > MaxBodyBytes_) {
    refuseRequest(ResultCode::RequestBodyTooLarge);
    return false;
  }
  appendTightly(Incoming_->KeptBody_, Reader_.body());
  if (Incoming_->KeptBody_.size() <= Worker_.limits().KeptBodyBytes_)
    return true;
  dispatch(/*Complete=*/false);
  return false;
}

/// Takes over the head that was read and sets the caller and the deadline,
/// which follow from it. While the process stops, the deadline lies before its
/// end, except for an answer that is passed on already.
HttpCallRequest HttpCallerSession::completeRequest(HttpCallRequest Request,
                                                   bool Complete) {
  Request.Head_ = std::move(Reader_.head());
  Request.BodyComplete_ = Complete;
  Request.Caller_ =
      Request.Head_.Caller_.empty() ? Peer_ : Request.Head_.Caller_;
  auto Allowed = Request.Route_->Deadline_;
  if (Request.Head_.Deadline_)
    Allowed = std::min(Allowed, *Request.Head_.Deadline_);
  Request.AnswerDeadline_ = Request.Arrived_ + Allowed;
  Request.Deadline_ = std::min(Request.AnswerDeadline_, Worker_.answerBy());
  return Request;
}

void HttpCallerSession::dispatch(bool Complete) {
  if (refuseWhileStopping())
    return;
  HttpCallRequest Request = completeRequest(std::move(*Incoming_), Complete);
  Phase_ = Phase::Call;
  TimeoutAt_ = model::TimePoint::max();
  RequestComplete_ = Complete;
  KeepAlive_ = Request.Head_.KeepAlive_ && !Request.Head_.Http10_;
  IsHeadRequest_ = Request.Head_.IsHead_;
  ChunksAllowed_ = !Request.Head_.Http10_;
  if (Complete)
    Reader_.startNext();
  Call_ = std::make_shared<HttpCall>(Worker_, shared_from_this(),
                                     std::move(Request));
  CallId_ = Call_->callId();
  Incoming_.reset();
  const auto Call = Call_;
  Call->start();
  if (!Complete || Phase_ != Phase::Call)
    return;
  startPipelinedCalls();
  // A pending read reports when the caller closes the connection.
  read();
}

// Pipelined requests.

/// Starts the calls of the pipelined requests that have arrived. The first one
/// that must not run concurrently waits until all calls before it are answered,
/// and so do those after it. While the process stops no call is added, so that
/// the connection ends after those that run.
void HttpCallerSession::startPipelinedCalls() {
  while (!Draining_ && Phase_ == Phase::Call && RequestComplete_ &&
         !DeferredStep_ && PipelinedCalls_.size() < MaxPipelinedCalls &&
         Worker_.hasMemoryForPipelining() && !endsAfterAnswer()) {
    const ReadStep Step = Reader_.next();
    if (Step == ReadStep::NeedMore)
      return;
    if (Step != ReadStep::Head || !startPipelinedCall())
      DeferredStep_ = Step;
  }
}

/// Starts the call of a pipelined request, unless it must not run beside others
/// or is refused. Returns whether it did.
bool HttpCallerSession::startPipelinedCall() {
  if (!canRunConcurrently(Reader_.head()))
    return false;
  const auto Admission = Worker_.admitRequest(Reader_.head());
  if (!Admission.Route_ || !Admission.Route_->Idempotent_)
    return false;
  HttpCallRequest Incoming;
  Incoming.Arrived_ = Worker_.now();
  Incoming.Pipelined_ = true;
  Incoming.Route_ = Admission.Route_;
  Incoming.Identity_ = Admission.Identity_;
  Incoming.ConfigVersion_ = Admission.ConfigVersion_;
  HttpCallRequest Request =
      completeRequest(std::move(Incoming), /*Complete=*/true);
  PipelinedCall Started;
  Started.KeepAlive_ = Request.Head_.KeepAlive_;
  Started.Answer_ = std::make_shared<BufferedAnswer>(Socket_.get_executor(),
                                                     Worker_.callerMemory());
  Reader_.next(); // consumes the end of a request without a body
  Reader_.startNext();
  const auto Call =
      std::make_shared<HttpCall>(Worker_, Started.Answer_, std::move(Request));
  Started.CallId_ = Call->callId();
  const auto Answer = Started.Answer_;
  PipelinedCalls_.push_back(std::move(Started));
  Answer->start(Call);
  return true;
}

/// Makes the oldest pipelined call the one that is answered now.
void HttpCallerSession::answerNextCall() {
  const PipelinedCall Next = std::move(PipelinedCalls_.front());
  PipelinedCalls_.pop_front();
  Phase_ = Phase::Call;
  TimeoutAt_ = model::TimePoint::max();
  RequestComplete_ = true;
  KeepAlive_ = Next.KeepAlive_;
  IsHeadRequest_ = false;
  ChunksAllowed_ = true;
  CallId_ = Next.CallId_;
  Call_ = Next.Answer_->call();
  Next.Answer_->forwardTo(shared_from_this());
  if (Phase_ != Phase::Call)
    return;
  startPipelinedCalls();
  read();
}

/// Returns whether the connection closes after the current answer. Pipelined
/// calls that run already are answered before it closes.
bool HttpCallerSession::endsAfterAnswer() const {
  return PipelinedCalls_.empty() && (!KeepAlive_ || Draining_);
}

void HttpCallerSession::readMoreBody(PieceHandler Handler) {
  if (Phase_ != Phase::Call || RequestComplete_)
    return;
  PieceHandler_ = std::move(Handler);
  streamBody();
}

void HttpCallerSession::streamBody() {
  switch (Reader_.next()) {
  case ReadStep::NeedMore:
    setTimeout(Worker_.limits().BodyTimeout_);
    return read();
  case ReadStep::Body:
    BodyBytes_ += Reader_.body().size();
    if (BodyBytes_ > MaxBodyBytes_)
      return refuseStreamedRequest(ResultCode::RequestBodyTooLarge);
    return deliverPiece({Reader_.body(), false});
  case ReadStep::End:
    RequestComplete_ = true;
    deliverPiece({{}, true});
    Reader_.startNext();
    return read();
  default:
    return refuseStreamedRequest(Reader_.error());
  }
}

void HttpCallerSession::deliverPiece(BodyPiece Piece) {
  TimeoutAt_ = model::TimePoint::max();
  const PieceHandler Handler = std::move(PieceHandler_);
  PieceHandler_ = nullptr;
  Handler(Piece);
}

} // namespace cumingauge::adapters
