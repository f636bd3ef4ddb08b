#include "adapters/httpcall.h"
#include "adapters/httptext.h"
#include "adapters/httpworker.h"
#include <algorithm>
#include <utility>

namespace cumingauge::adapters {

using traffic::AttemptNumber;
using traffic::AttemptState;
using traffic::Framing;

namespace {

constexpr unsigned StatusServerError = 500;

traffic::CallRules rulesOf(const HttpCallRequest &Request) {
  return {Request.Route_->Idempotent_, Request.BodyComplete_};
}

policy::CallFacts factsOf(const HttpCallRequest &Request, policy::CallId Call) {
  policy::CallFacts Facts;
  Facts.Call_ = Call;
  Facts.Caller_ = Request.Caller_;
  Facts.Route_ = *Request.Route_;
  Facts.Arrived_ = Request.Arrived_;
  Facts.Deadline_ = Request.Deadline_;
  Facts.Nested_ = Request.Head_.Attempt_ > 1;
  return Facts;
}

std::uint32_t millisBetween(model::TimePoint From, model::TimePoint To) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<model::milliseconds>(To - From).count());
}

} // namespace

HttpCall::HttpCall(HttpWorker &Worker, std::shared_ptr<CallerChannel> Caller,
                   HttpCallRequest Incoming)
    : Worker_(Worker), Caller_(std::move(Caller)),
      Request_(std::move(Incoming)),
      Facts_(factsOf(Request_, Worker.nextCallId())), Life_(rulesOf(Request_)),
      Memory_(Worker.callerMemory()), HedgeAt_(model::TimePoint::max()) {
  if (Request_.Head_.CallId_.empty())
    Request_.Head_.CallId_ = Worker.makeCallId(Facts_.Call_);
  updateMemory();
}

void HttpCall::updateMemory() {
  std::uint64_t Bytes = sizeof(HttpCall) + traffic::heldBytes(Request_.Head_) +
                        Request_.KeptBody_.capacity();
  for (const Attempt &Made : Attempts_)
    Bytes += Made.KeptAnswer_.capacity() +
             (Made.Connection_ ? Made.Connection_->heldBytes() : 0);
  Memory_.set(Bytes);
  Worker_.checkCallerMemory();
}

std::vector<model::AttemptTrace> HttpCall::traces() const {
  std::vector<model::AttemptTrace> Out;
  for (const Attempt &Made : Attempts_)
    Out.push_back(Made.Trace_);
  return Out;
}

void HttpCall::start() {
  Worker_.recordCallStart();
  setTimer();
  apply(traffic::CallArrived{});
}

void HttpCall::answerTo(std::shared_ptr<CallerChannel> Caller) {
  Caller_ = std::move(Caller);
  setTimer();
}

void HttpCall::decide(const policy::Decision &Decision) {
  if (Decision.Verdict_ == policy::Verdict::Dispatch)
    return apply(traffic::ServerChosen{Decision.Server_});
  if (Decision.Verdict_ != policy::Verdict::Refuse)
    return;
  RetryAfter_ = std::chrono::ceil<model::milliseconds>(Decision.RetryAfter_);
  apply(traffic::AdmissionRefused{Decision.Reason_});
}

void HttpCall::limitDeadline(model::TimePoint Latest) {
  if (Forwarding_ != 0 || Request_.Deadline_ <= Latest)
    return;
  Request_.Deadline_ = Latest;
  Facts_.Deadline_ = Latest;
  setTimer();
}

void HttpCall::setAdmission(RequestAdmission Admission) {
  Facts_.Route_ = *Admission.Route_;
  Request_.Route_ = std::move(Admission.Route_);
  Request_.Identity_ = std::move(Admission.Identity_);
  Request_.ConfigVersion_ = Admission.ConfigVersion_;
}

void HttpCall::onCallerLeft() { apply(traffic::CallerLeft{}); }

void HttpCall::giveUpRequest(model::ResultCode Reason) {
  apply(traffic::RequestGivenUp{Reason});
}

void HttpCall::onTimer(model::TimePoint Now) {
  if (Now >= Request_.Deadline_)
    return apply(traffic::DeadlinePassed{});
  if (Now >= HedgeAt_) {
    HedgeAt_ = model::TimePoint::max();
    apply(traffic::HedgeDue{});
  }
  setTimer();
}

void HttpCall::setTimer() {
  if (!Life_.isEnded())
    Caller_->setTimer(std::min(Request_.Deadline_, HedgeAt_));
}

void HttpCall::apply(const traffic::CallEvent &Event) {
  Pending_.push_back(Event);
  if (Applying_)
    return;
  const auto Self = shared_from_this();
  Applying_ = true;
  for (std::size_t I = 0; I < Pending_.size(); ++I) {
    const traffic::CallEvent Next = Pending_[I];
    for (const traffic::CallAction &Action : Life_.process(Next))
      std::visit([this](const auto &A) { perform(A); }, Action);
  }
  Pending_.clear();
  Applying_ = false;
}

void HttpCall::perform(const traffic::AskBalancer &) {
  Worker_.admit(shared_from_this());
}

void HttpCall::perform(const traffic::RemoveFromQueue &) {
  Worker_.removeFromQueue(*this);
}

void HttpCall::perform(const traffic::OpenAttempt &Action) {
  const model::TimePoint Now = Worker_.now();
  Attempt Opened;
  Opened.Server_ = Action.Server_;
  Opened.Dispatched_ = Now;
  Opened.Trace_ = Worker_.traceOf(Action.Server_);
  Opened.Trace_.AtMs_ = millisBetween(Facts_.Arrived_, Now);
  Attempts_.push_back(Opened);
  ++Facts_.Attempts_;
  Facts_.Tried_.push_back(Action.Server_);
  Worker_.recordAttemptStart(Action.Server_);
  if (Action.Attempt_ == 1) {
    if (const auto When = Worker_.hedgeTime(Facts_, Now)) {
      HedgeAt_ = *When;
      setTimer();
    }
  }
  const AttemptNumber Number = Action.Attempt_;
  const auto Ticket =
      Worker_.pool(Action.Server_)
          .lease(callId(), [Self = shared_from_this(),
                            Number](std::shared_ptr<HttpConnection> Leased) {
            Self->onConnection(Number, std::move(Leased));
          });
  if (Attempts_.size() >= Number && !attempt(Number).Connection_)
    attempt(Number).Ticket_ = Ticket;
}

void HttpCall::onConnection(AttemptNumber Number,
                            std::shared_ptr<HttpConnection> Connection) {
  attempt(Number).Ticket_ = HttpPool::NoTicket;
  // The choice may be outdated: the call has waited for the connection.
  if (!Worker_.maySend(*this, attempt(Number).Server_)) {
    if (Connection)
      Connection->retire();
    return onFailure(Number, AttemptState::Withdrawn);
  }
  if (!Connection)
    return onFailure(Number, AttemptState::NotSent);
  attempt(Number).Trace_.LocalPort_ = Connection->localPort();
  attempt(Number).Connection_ = std::move(Connection);
  apply(traffic::ConnectionReady{Number});
}

void HttpCall::perform(const traffic::SendRequest &Action) {
  const AttemptNumber Number = Action.Attempt_;
  Exchange Outgoing;
  Outgoing.Head_ = requestHead(Number);
  Outgoing.BodyComplete_ = Request_.BodyComplete_;
  Outgoing.IsHead_ = Request_.Head_.IsHead_;
  Outgoing.CallId_ = callId();
  if (Request_.BodyComplete_ || Request_.Head_.Framing_ != Framing::Chunked)
    Outgoing.Body_ = Request_.KeptBody_;
  else
    appendChunk(Outgoing.Head_, Request_.KeptBody_, /*Last=*/false);
  Outgoing.Handler_ = [Self = shared_from_this(), Number](ExchangeStep Step) {
    Self->onExchange(Number, Step);
  };
  attempt(Number).Connection_->send(std::move(Outgoing));
}

std::string HttpCall::requestHead(AttemptNumber Number) const {
  const traffic::Dialect &Names = Worker_.dialect();
  const traffic::RequestHead &Head = Request_.Head_;
  const auto Remaining = std::chrono::duration_cast<model::milliseconds>(
      Request_.Deadline_ - Worker_.now());
  const unsigned SentAttempt = std::max(Head.Attempt_, 1U) + Number - 1;
  std::string Out;
  Out.reserve(Head.Target_.size() + Head.Fields_.size() + 256);
  Out.append(Head.Method_).append(" ").append(Head.Target_);
  Out.append(" HTTP/1.1\r\n").append(Head.Fields_);
  appendIdentity(Out);
  appendHeader(Out, Names.CallId_, Head.CallId_);
  appendHeader(Out, Names.Attempt_, std::to_string(SentAttempt));
  appendHeader(Out, Names.Server_,
               Worker_.serverName(Attempts_[Number - 1].Server_));
  appendHeader(Out, Names.DeadlineMs_,
               std::to_string(std::max<std::int64_t>(Remaining.count(), 1)));
  if (Head.Framing_ == Framing::Chunked && Request_.BodyComplete_)
    appendHeader(Out, "Content-Length",
                 std::to_string(Request_.KeptBody_.size()));
  else
    appendFraming(Out, Head.Framing_, Head.Length_);
  return Out.append("\r\n");
}

/// Appends the workspace of the call. Its credentials follow only if they are
/// not meant for this process.
void HttpCall::appendIdentity(std::string &Out) const {
  const traffic::Dialect &Names = Worker_.dialect();
  if (!workspace().empty())
    appendHeader(Out, Names.Workspace_, workspace());
  if (!Request_.Identity_.PassesCredentials_)
    return;
  for (const std::string &Credentials : Request_.Head_.Credentials_)
    appendHeader(Out, Names.Key_, Credentials);
}

void HttpCall::onExchange(AttemptNumber Number, ExchangeStep Step) {
  switch (Step) {
  case ExchangeStep::BodyWanted:
    return readMoreBody(Number);
  case ExchangeStep::Head:
    return onHead(Number);
  case ExchangeStep::Body:
    return onBody(Number);
  case ExchangeStep::End:
    return onEnd(Number);
  case ExchangeStep::NotSent:
    return onFailure(Number, AttemptState::NotSent);
  case ExchangeStep::Lost:
    recordFault(Number);
    return onFailure(Number, AttemptState::Lost);
  case ExchangeStep::Malformed:
    recordFault(Number);
    return onFailure(Number, AttemptState::Malformed);
  }
}

void HttpCall::onHead(AttemptNumber Number) {
  const auto Connection = attempt(Number).Connection_;
  const traffic::AnswerHead &Head = Connection->head();
  attempt(Number).Trace_.Status_ = Head.Status_;
  if (!Head.Report_.empty())
    Worker_.recordReport(attempt(Number).Server_, Head.Report_);
  Worker_.recordNotice(attempt(Number).Server_, Head.Notice_, callId());
  const traffic::Dialect &Names = Worker_.dialect();
  if (!Names.IsNotRun_(Head.Status_, Head.NotRun_)) {
    if (!canKeepAnswer(Head))
      apply(traffic::AnswerStarted{Number});
    return;
  }
  const bool Draining = Names.IsLeaving_(Head.Status_, Head.NotRun_);
  if (Draining)
    Worker_.reportDraining(attempt(Number).Server_);
  attempt(Number).Connection_ = nullptr;
  Connection->discardAnswer();
  apply(traffic::AttemptFailed{Number, AttemptState::DeclaredNotRun, Draining});
}

void HttpCall::onBody(AttemptNumber Number) {
  const auto Connection = attempt(Number).Connection_;
  const bool Last = Connection->isAnswerComplete();
  if (Forwarding_ != Number) {
    attempt(Number).KeptAnswer_.append(Connection->body());
    updateMemory();
    if (attempt(Number).KeptAnswer_.size() > Worker_.limits().KeptAnswerBytes_)
      return streamKeptAnswer(Number);
    return Connection->resume();
  }
  AnswerForwarded_ = Last;
  updateMemory();
  if (Caller_->forwardBody(Connection->body(), Last,
                           [Connection] { Connection->resume(); }))
    Connection->resume();
}

/// Whether the call is tried again after a buffered answer with status 500 or
/// more, since another server may succeed. Spends the retry budget if so.
bool HttpCall::shouldRetryServerError(const traffic::AnswerHead &Head) {
  return Head.Status_ >= StatusServerError &&
         Worker_.limits().KeptAnswerBytes_ > 0 &&
         traffic::canRetry(rulesOf(Request_), AttemptState::ServerError) &&
         Worker_.tryRetry(*this, policy::AttemptEnd::AnsweredError);
}

void HttpCall::onEnd(AttemptNumber Number) {
  if (Forwarding_ != Number) {
    finishKeptAnswer(Number);
    if (Forwarding_ != Number)
      return;
  }
  const auto Connection = std::move(attempt(Number).Connection_);
  attempt(Number).Connection_ = nullptr;
  if (!AnswerForwarded_) {
    AnswerForwarded_ = true;
    Caller_->forwardBody({}, /*Last=*/true, [] {});
  }
  apply(traffic::AnswerEnded{Number,
                             Connection->head().Status_ >= StatusServerError});
}

void HttpCall::recordFault(AttemptNumber Number) {
  const Attempt &Failed = attempt(Number);
  if (Failed.Connection_)
    Worker_.recordAnswerFault(Failed.Server_, Failed.Connection_->fault(),
                              Failed.Connection_->status(), callId());
}

void HttpCall::onFailure(AttemptNumber Number, AttemptState State) {
  attempt(Number).Connection_ = nullptr;
  apply(traffic::AttemptFailed{Number, State, /*Draining_=*/false});
}

void HttpCall::readMoreBody(AttemptNumber Number) {
  Caller_->readMoreBody([Self = shared_from_this(),
                         Number](const CallerChannel::BodyPiece &Piece) {
    Self->sendPiece(Number, Piece);
  });
}

void HttpCall::sendPiece(AttemptNumber Number,
                         const CallerChannel::BodyPiece &Piece) {
  const auto Connection = attempt(Number).Connection_;
  if (!Connection)
    return;
  std::string Framed;
  if (Request_.Head_.Framing_ == Framing::Chunked)
    appendChunk(Framed, Piece.Bytes_, Piece.Last_);
  else
    Framed.assign(Piece.Bytes_);
  const bool Last = Piece.Last_;
  Connection->sendMore(std::move(Framed), Last,
                       [Self = shared_from_this(), Number, Last](bool Sent) {
                         if (Sent && !Last)
                           Self->readMoreBody(Number);
                       });
  updateMemory();
}

void HttpCall::perform(const traffic::ForwardAnswer &Action) {
  Forwarding_ = Action.Attempt_;
  if (std::exchange(Request_.Deadline_, Request_.AnswerDeadline_) !=
      Request_.AnswerDeadline_)
    setTimer();
  Caller_->forwardHead(attempt(Action.Attempt_).Connection_->head());
}

void HttpCall::perform(const traffic::DropAttempt &Action) {
  Attempt &DroppedAttempt = attempt(Action.Attempt_);
  if (DroppedAttempt.Ticket_ != HttpPool::NoTicket)
    Worker_.pool(DroppedAttempt.Server_).cancel(DroppedAttempt.Ticket_);
  const auto Connection = std::move(DroppedAttempt.Connection_);
  DroppedAttempt.Connection_ = nullptr;
  if (!Connection)
    return;
  Connection->abandon();
  Connection->retire(); // abandon has no effect before a request was sent
}

void HttpCall::perform(const traffic::ReportAttempt &Action) {
  Attempt &EndedAttempt = attempt(Action.Attempt_);
  EndedAttempt.Trace_.TookMs_ =
      millisBetween(EndedAttempt.Dispatched_, Worker_.now());
  Facts_.Withdrawn_ += Action.End_ == policy::AttemptEnd::Withdrawn;
  EndedAttempt.Trace_.End_ = boost::describe::enum_to_string(Action.End_, "");
  Worker_.recordAttemptEnd(Facts_, Action.Server_, Action.End_,
                           EndedAttempt.Dispatched_);
}

void HttpCall::perform(const traffic::AskRetry &Action) {
  const bool Granted = std::exchange(RetryGranted_, false);
  apply(traffic::RetryDecided{Granted || Worker_.tryRetry(*this, Action.End_)});
}

void HttpCall::perform(const traffic::AskHedge &) {
  apply(traffic::HedgeDecided{Worker_.hedge(*this)});
}

void HttpCall::perform(const traffic::AnswerCaller &Action) {
  Caller_->answer(Action.Code_, RetryAfter_);
}

void HttpCall::perform(const traffic::AbortAnswer &) { Caller_->abortAnswer(); }

void HttpCall::perform(const traffic::EndCall &Action) {
  Worker_.recordCallEnd(*this, Action.Code_);
  Caller_->onCallEnded();
}

} // namespace cumingauge::adapters
