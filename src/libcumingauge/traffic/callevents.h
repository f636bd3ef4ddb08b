#pragma once

#include "model/describe.h"
#include "model/resultcode.h"
#include "policy/balancer.h"
#include "traffic/outcomes.h"
#include <variant>

/// What can happen to a call, and what is to be done about it.
namespace cumingauge::traffic {

using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;

/// Number of an attempt within its call, from 1.
using AttemptNumber = unsigned;

// Events.

/// The head and the kept part of the body are here.
struct CallArrived {};
BOOST_DESCRIBE_STRUCT(CallArrived, (), ())
struct ServerChosen {
  policy::ServerHandle Server_ = policy::NoServer;
};
BOOST_DESCRIBE_STRUCT(ServerChosen, (), (Server_))
struct AdmissionRefused {
  model::ResultCode Reason_ = model::ResultCode::NotRunNoServer;
};
BOOST_DESCRIBE_STRUCT(AdmissionRefused, (), (Reason_))
struct ConnectionReady {
  AttemptNumber Attempt_ = 0;
};
BOOST_DESCRIBE_STRUCT(ConnectionReady, (), (Attempt_))
/// A useful answer has begun; one that says "did not run" is AttemptFailed.
struct AnswerStarted {
  AttemptNumber Attempt_ = 0;
};
BOOST_DESCRIBE_STRUCT(AnswerStarted, (), (Attempt_))
struct AnswerEnded {
  AttemptNumber Attempt_ = 0;
  bool ServerError_ = false; ///< status 500 or more
};
BOOST_DESCRIBE_STRUCT(AnswerEnded, (), (Attempt_, ServerError_))
struct AttemptFailed {
  AttemptNumber Attempt_ = 0;
  AttemptFate Fate_ = AttemptFate::Lost;
  bool Draining_ = false; ///< with DeclaredNotRun: the server is leaving
};
BOOST_DESCRIBE_STRUCT(AttemptFailed, (), (Attempt_, Fate_, Draining_))
struct RetryDecided {
  bool Allowed_ = false;
};
BOOST_DESCRIBE_STRUCT(RetryDecided, (), (Allowed_))
struct HedgeDue {};
BOOST_DESCRIBE_STRUCT(HedgeDue, (), ())
struct HedgeDecided {
  policy::ServerHandle Server_ = policy::NoServer; ///< NoServer: no hedge
};
BOOST_DESCRIBE_STRUCT(HedgeDecided, (), (Server_))
struct DeadlinePassed {};
BOOST_DESCRIBE_STRUCT(DeadlinePassed, (), ())
struct CallerLeft {};
BOOST_DESCRIBE_STRUCT(CallerLeft, (), ())

using CallEvent =
    std::variant<CallArrived, ServerChosen, AdmissionRefused, ConnectionReady,
                 AnswerStarted, AnswerEnded, AttemptFailed, RetryDecided,
                 HedgeDue, HedgeDecided, DeadlinePassed, CallerLeft>;

// Actions.

/// Ask for a server; answered by ServerChosen or AdmissionRefused.
struct AskBalancer {};
BOOST_DESCRIBE_STRUCT(AskBalancer, (), ())
/// Take the call out of the balancer's queue.
struct ForgetWaiting {};
BOOST_DESCRIBE_STRUCT(ForgetWaiting, (), ())
/// Get a connection; answered by ConnectionReady or AttemptFailed.
struct OpenAttempt {
  AttemptNumber Attempt_ = 0;
  policy::ServerHandle Server_ = policy::NoServer;
};
BOOST_DESCRIBE_STRUCT(OpenAttempt, (), (Attempt_, Server_))
struct SendRequest {
  AttemptNumber Attempt_ = 0;
};
BOOST_DESCRIBE_STRUCT(SendRequest, (), (Attempt_))
/// Pass head and body of this attempt's answer on to the caller.
struct ForwardAnswer {
  AttemptNumber Attempt_ = 0;
};
BOOST_DESCRIBE_STRUCT(ForwardAnswer, (), (Attempt_))
/// Stop waiting for this attempt and close its connection.
struct DropAttempt {
  AttemptNumber Attempt_ = 0;
};
BOOST_DESCRIBE_STRUCT(DropAttempt, (), (Attempt_))
/// Tell the balancer how the attempt ended.
struct ReportAttempt {
  AttemptNumber Attempt_ = 0;
  policy::ServerHandle Server_ = policy::NoServer;
  policy::AttemptEnd End_ = policy::AttemptEnd::Answered;
};
BOOST_DESCRIBE_STRUCT(ReportAttempt, (), (Attempt_, Server_, End_))
/// Answered by RetryDecided.
struct AskRetry {
  policy::AttemptEnd End_ = policy::AttemptEnd::ConnectFailed;
};
BOOST_DESCRIBE_STRUCT(AskRetry, (), (End_))
/// Answered by HedgeDecided.
struct AskHedge {};
BOOST_DESCRIBE_STRUCT(AskHedge, (), ())
/// Answer the caller with a result code of this process.
struct AnswerCaller {
  model::ResultCode Code_ = model::ResultCode::Ok;
};
BOOST_DESCRIBE_STRUCT(AnswerCaller, (), (Code_))
/// Cut the caller's connection: part of the answer has gone out already.
struct BreakAnswer {};
BOOST_DESCRIBE_STRUCT(BreakAnswer, (), ())
/// Nothing follows.
struct EndCall {
  model::ResultCode Code_ = model::ResultCode::Ok;
};
BOOST_DESCRIBE_STRUCT(EndCall, (), (Code_))

using CallAction =
    std::variant<AskBalancer, ForgetWaiting, OpenAttempt, SendRequest,
                 ForwardAnswer, DropAttempt, ReportAttempt, AskRetry, AskHedge,
                 AnswerCaller, BreakAnswer, EndCall>;

} // namespace cumingauge::traffic
