#pragma once

#include "model/describe.h"
#include "model/resultcode.h"
#include "policy/balancer.h"
#include "traffic/outcomes.h"
#include <variant>

/// Events that the state machine of a call takes, and the actions that it
/// returns. HttpCall feeds the events and performs the actions.
namespace cumingauge::traffic {

using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;

/// Number of an attempt within its call, counted from 1.
using AttemptNumber = unsigned;

// Events.

/// The head of the request has been read, and the part of its body that is kept
/// for retries.
struct CallArrived {};
BOOST_DESCRIBE_STRUCT(CallArrived, (), ())
/// The balancer chose a server for the next attempt.
struct ServerChosen {
  policy::ServerHandle Server_ = policy::NoServer;
};
BOOST_DESCRIBE_STRUCT(ServerChosen, (), (Server_))
/// The balancer refused the call.
struct AdmissionRefused {
  model::ResultCode Reason_ = model::ResultCode::NotRunNoServer;
};
BOOST_DESCRIBE_STRUCT(AdmissionRefused, (), (Reason_))
/// The attempt has a connection to its server.
struct ConnectionReady {
  AttemptNumber Attempt_ = 0;
};
BOOST_DESCRIBE_STRUCT(ConnectionReady, (), (Attempt_))
/// The head of an answer arrived that may be passed on to the caller. An answer
/// which states that the call did not run is an AttemptFailed instead.
struct AnswerStarted {
  AttemptNumber Attempt_ = 0;
};
BOOST_DESCRIBE_STRUCT(AnswerStarted, (), (Attempt_))
/// The answer arrived to its last byte.
struct AnswerEnded {
  AttemptNumber Attempt_ = 0;
  bool ServerError_ = false; ///< status 500 or more
};
BOOST_DESCRIBE_STRUCT(AnswerEnded, (), (Attempt_, ServerError_))
/// The attempt ended without a complete answer that can be passed on.
struct AttemptFailed {
  AttemptNumber Attempt_ = 0;
  AttemptState Fate_ = AttemptState::Lost;
  bool Draining_ = false; ///< DeclaredNotRun only: the server is draining
};
BOOST_DESCRIBE_STRUCT(AttemptFailed, (), (Attempt_, Fate_, Draining_))
/// Reply to AskRetry.
struct RetryDecided {
  bool Allowed_ = false;
};
BOOST_DESCRIBE_STRUCT(RetryDecided, (), (Allowed_))
/// The hedge delay has passed without an answer.
struct HedgeDue {};
BOOST_DESCRIBE_STRUCT(HedgeDue, (), ())
/// Reply to AskHedge.
struct HedgeDecided {
  policy::ServerHandle Server_ = policy::NoServer; ///< NoServer: no hedge
};
BOOST_DESCRIBE_STRUCT(HedgeDecided, (), (Server_))
/// The deadline of the call has passed.
struct DeadlinePassed {};
BOOST_DESCRIBE_STRUCT(DeadlinePassed, (), ())
/// The rest of a request that is passed on while it arrives is not waited for.
struct RequestGivenUp {
  /// Code of the answer if the call certainly did not run.
  model::ResultCode Reason_ = model::ResultCode::RequestTimeout;
};
BOOST_DESCRIBE_STRUCT(RequestGivenUp, (), (Reason_))
/// The caller closed its connection.
struct CallerLeft {};
BOOST_DESCRIBE_STRUCT(CallerLeft, (), ())

using CallEvent =
    std::variant<CallArrived, ServerChosen, AdmissionRefused, ConnectionReady,
                 AnswerStarted, AnswerEnded, AttemptFailed, RetryDecided,
                 HedgeDue, HedgeDecided, DeadlinePassed, RequestGivenUp,
                 CallerLeft>;

// Actions.

/// Ask the balancer for a server; it replies with ServerChosen or
/// AdmissionRefused, at once or after the call has waited in its queue.
struct AskBalancer {};
BOOST_DESCRIBE_STRUCT(AskBalancer, (), ())
/// Remove the call from the balancer's queue, if it waits there.
struct RemoveFromQueue {};
BOOST_DESCRIBE_STRUCT(RemoveFromQueue, (), ())
/// Start an attempt and get a connection to its server; the reply is
/// ConnectionReady or AttemptFailed.
struct OpenAttempt {
  AttemptNumber Attempt_ = 0;
  policy::ServerHandle Server_ = policy::NoServer;
};
BOOST_DESCRIBE_STRUCT(OpenAttempt, (), (Attempt_, Server_))
/// Send the request on the connection of this attempt.
struct SendRequest {
  AttemptNumber Attempt_ = 0;
};
BOOST_DESCRIBE_STRUCT(SendRequest, (), (Attempt_))
/// Pass the head and body of this attempt's answer on to the caller.
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
/// Ask whether the retry budget allows another attempt; the reply is
/// RetryDecided.
struct AskRetry {
  /// How the attempt ended that is to be retried.
  policy::AttemptEnd End_ = policy::AttemptEnd::ConnectFailed;
};
BOOST_DESCRIBE_STRUCT(AskRetry, (), (End_))
/// Ask the balancer for a second server to hedge with; the reply is
/// HedgeDecided.
struct AskHedge {};
BOOST_DESCRIBE_STRUCT(AskHedge, (), ())
/// Answer the caller with a result code instead of a server's answer.
struct AnswerCaller {
  model::ResultCode Code_ = model::ResultCode::Ok;
};
BOOST_DESCRIBE_STRUCT(AnswerCaller, (), (Code_))
/// Reset the caller's connection: part of the answer has been sent already, so
/// no error can be reported any more.
struct AbortAnswer {};
BOOST_DESCRIBE_STRUCT(AbortAnswer, (), ())
/// The call has ended with this result code; no further action follows.
struct EndCall {
  model::ResultCode Code_ = model::ResultCode::Ok;
};
BOOST_DESCRIBE_STRUCT(EndCall, (), (Code_))

using CallAction =
    std::variant<AskBalancer, RemoveFromQueue, OpenAttempt, SendRequest,
                 ForwardAnswer, DropAttempt, ReportAttempt, AskRetry, AskHedge,
                 AnswerCaller, AbortAnswer, EndCall>;

} // namespace cumingauge::traffic
