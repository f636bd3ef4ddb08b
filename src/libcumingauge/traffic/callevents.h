#pragma once

#include "model/describe.h"
#include "model/resultcode.h"
#include "policy/balancer.h"
#include "traffic/outcomes.h"
#include <variant>

/// What can happen to a call, and what is to be done about it.
namespace cumingauge::traffic {

/// Number of an attempt within its call, from 1.
using AttemptNumber = unsigned;

// Events.

/// The head and the kept part of the body are here.
struct CallArrived {};
struct ServerChosen {
  policy::ServerHandle Server_ = policy::NoServer;
};
struct AdmissionRefused {
  model::ResultCode Reason_ = model::ResultCode::NotRunNoServer;
};
struct ConnectionReady {
  AttemptNumber Attempt_ = 0;
};
/// A useful answer has begun; one that says "did not run" is AttemptFailed.
struct AnswerStarted {
  AttemptNumber Attempt_ = 0;
};
struct AnswerEnded {
  AttemptNumber Attempt_ = 0;
  bool ServerError_ = false; ///< status 500 or more
};
struct AttemptFailed {
  AttemptNumber Attempt_ = 0;
  AttemptFate Fate_ = AttemptFate::Lost;
  bool Draining_ = false; ///< with DeclaredNotRun: the server is leaving
};
struct RetryDecided {
  bool Allowed_ = false;
};
struct HedgeDue {};
struct HedgeDecided {
  policy::ServerHandle Server_ = policy::NoServer; ///< NoServer: no hedge
};
struct DeadlinePassed {};
struct CallerLeft {};

using CallEvent =
    std::variant<CallArrived, ServerChosen, AdmissionRefused, ConnectionReady,
                 AnswerStarted, AnswerEnded, AttemptFailed, RetryDecided,
                 HedgeDue, HedgeDecided, DeadlinePassed, CallerLeft>;

// Actions.

/// Ask for a server; answered by ServerChosen or AdmissionRefused.
struct AskBalancer {};
/// Take the call out of the balancer's queue.
struct ForgetWaiting {};
/// Get a connection; answered by ConnectionReady or AttemptFailed.
struct OpenAttempt {
  AttemptNumber Attempt_ = 0;
  policy::ServerHandle Server_ = policy::NoServer;
};
struct SendRequest {
  AttemptNumber Attempt_ = 0;
};
/// Pass head and body of this attempt's answer on to the caller.
struct ForwardAnswer {
  AttemptNumber Attempt_ = 0;
};
/// Stop waiting for this attempt and close its connection.
struct DropAttempt {
  AttemptNumber Attempt_ = 0;
};
/// Tell the balancer how the attempt ended.
struct ReportAttempt {
  AttemptNumber Attempt_ = 0;
  policy::ServerHandle Server_ = policy::NoServer;
  policy::AttemptEnd End_ = policy::AttemptEnd::Answered;
};
/// Answered by RetryDecided.
struct AskRetry {
  policy::AttemptEnd End_ = policy::AttemptEnd::ConnectFailed;
};
/// Answered by HedgeDecided.
struct AskHedge {};
/// Answer the caller with a result code of this process.
struct AnswerCaller {
  model::ResultCode Code_ = model::ResultCode::Ok;
};
/// Cut the caller's connection: part of the answer has gone out already.
struct BreakAnswer {};
/// Nothing follows.
struct EndCall {
  model::ResultCode Code_ = model::ResultCode::Ok;
};

using CallAction =
    std::variant<AskBalancer, ForgetWaiting, OpenAttempt, SendRequest,
                 ForwardAnswer, DropAttempt, ReportAttempt, AskRetry, AskHedge,
                 AnswerCaller, BreakAnswer, EndCall>;

} // namespace cumingauge::traffic
