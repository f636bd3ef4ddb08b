#pragma once

#include "adapters/callerchannel.h"
#include "adapters/callermemory.h"
#include "adapters/httpcallrequest.h"
#include "adapters/httppool.h"
#include "adapters/requestadmission.h"
#include "model/attempttrace.h"
#include "policy/balancer.h"
#include "traffic/callcredit.h"
#include "traffic/calllifecycle.h"
#include <memory>
#include <string>
#include <vector>

namespace cumingauge::adapters {

class HttpWorker;

/// One call of one caller: executes the actions of its life cycle, with the
/// caller's session on one side and connections to backend servers on the
/// other.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
public:
  HttpCall(HttpWorker &Worker, std::shared_ptr<CallerChannel> Caller,
           HttpCallRequest Incoming);

  void start();

  /// Redirects the answer to another channel. Used when the answers to earlier
  /// pipelined calls have been written.
  void answerTo(std::shared_ptr<CallerChannel> Caller);

  /// Applies the balancer's decision on this call.
  void decide(const policy::Decision &Decision);

  /// Replaces the route and the caller's identity, when the configuration has
  /// changed since the request was read. To be called before the call is
  /// placed.
  void setAdmission(RequestAdmission Admission);

  /// Whether credit is to be requested before the call is placed.
  bool needsCredit() const {
    return traffic::needsCredit(Request_.Identity_, Facts_, Credit_);
  }
  traffic::CallCredit &credit() { return Credit_; }
  const traffic::CallCredit &credit() const { return Credit_; }

  void onCallerLeft();

  /// Gives up a request whose rest does not arrive.
  /// \param Reason code of the answer if the call certainly did not run.
  void giveUpRequest(model::ResultCode Reason);

  /// Moves the deadline forward to this time, if it is later, unless an answer
  /// is passed on already.
  void limitDeadline(model::TimePoint Latest);

  /// Handles the deadline or the start of a hedge. To be called at the time
  /// that was set on the caller's channel.
  void onTimer(model::TimePoint Now);

  const policy::CallFacts &facts() const { return Facts_; }
  bool isPipelined() const { return Request_.Pipelined_; }
  const std::string &callId() const { return Request_.Head_.CallId_; }
  const std::string &workspace() const { return Request_.Identity_.Workspace_; }
  const traffic::CallerIdentity &identity() const { return Request_.Identity_; }
  /// Returns the version of the configuration that admitted the call.
  std::uint64_t configVersion() const { return Request_.ConfigVersion_; }
  const traffic::RequestHead &head() const { return Request_.Head_; }
  std::vector<model::AttemptTrace> traces() const;
  /// Returns the bytes of memory that the request and its answers take.
  std::uint64_t heldBytes() const { return Memory_.bytes(); }

private:
  /// One dispatch of the call to a backend server.
  struct Attempt {
    policy::ServerHandle Server_ = policy::NoServer;
    std::shared_ptr<HttpConnection> Connection_;
    HttpPool::Ticket Ticket_ = HttpPool::NoTicket; ///< of a pending lease
    model::TimePoint Dispatched_;
    std::string KeptAnswer_; ///< body of an answer that is buffered until whole
    model::AttemptTrace Trace_;
  };

  Attempt &attempt(traffic::AttemptNumber Number) {
    return Attempts_[Number - 1];
  }

  /// Passes an event to the life cycle and executes the resulting actions.
  /// Events raised meanwhile are processed afterwards.
  void apply(const traffic::CallEvent &Event);

  void perform(const traffic::AskBalancer &);
  void perform(const traffic::RemoveFromQueue &);
  void perform(const traffic::OpenAttempt &Action);
  void perform(const traffic::SendRequest &Action);
  void perform(const traffic::ForwardAnswer &Action);
  void perform(const traffic::DropAttempt &Action);
  void perform(const traffic::ReportAttempt &Action);
  void perform(const traffic::AskRetry &Action);
  void perform(const traffic::AskHedge &);
  void perform(const traffic::AnswerCaller &Action);
  void perform(const traffic::AbortAnswer &);
  void perform(const traffic::EndCall &Action);

  void onConnection(traffic::AttemptNumber Number,
                    std::shared_ptr<HttpConnection> Connection);
  void onExchange(traffic::AttemptNumber Number, ExchangeStep Step);
  void onHead(traffic::AttemptNumber Number);
  void onBody(traffic::AttemptNumber Number);
  void onEnd(traffic::AttemptNumber Number);
  bool canKeepAnswer(const traffic::AnswerHead &Head) const;
  void streamKeptAnswer(traffic::AttemptNumber Number);
  std::shared_ptr<const std::string>
  takeKeptAnswer(traffic::AttemptNumber Number);
  bool shouldRetryServerError(const traffic::AnswerHead &Head);
  void finishKeptAnswer(traffic::AttemptNumber Number);
  void recordFault(traffic::AttemptNumber Number);
  void onFailure(traffic::AttemptNumber Number, traffic::AttemptState State);
  void readMoreBody(traffic::AttemptNumber Number);
  void sendPiece(traffic::AttemptNumber Number,
                 const CallerChannel::BodyPiece &Piece);
  std::string requestHead(traffic::AttemptNumber Number) const;
  void appendIdentity(std::string &Out) const;
  void setTimer();
  void updateMemory();

  HttpWorker &Worker_;
  std::shared_ptr<CallerChannel> Caller_;
  HttpCallRequest Request_;
  policy::CallFacts Facts_;
  traffic::CallLifecycle Life_;
  traffic::CallCredit Credit_;
  MemoryShare Memory_;
  std::vector<Attempt> Attempts_;
  std::vector<traffic::CallEvent> Pending_;
  bool Applying_ = false; ///< further events are queued in Pending_
  traffic::AttemptNumber Forwarding_ = 0; ///< attempt whose answer is sent on
  /// When the caller of a refused call should try again; zero: no advice.
  model::milliseconds RetryAfter_{0};
  bool RetryGranted_ = false;    ///< the retry budget is already charged
  bool AnswerForwarded_ = false; ///< up to its last byte
  model::TimePoint HedgeAt_;     ///< maximum when no hedge is scheduled
};

} // namespace cumingauge::adapters
