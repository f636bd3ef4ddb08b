#pragma once

#include "model/attempttrace.h"
#include "model/controlview.h"
#include "model/loadreport.h"
#include "model/resultcode.h"
#include "model/route.h"
#include "model/serveractivity.h"
#include "model/time.h"
#include "policy/choicereason.h"
#include <boost/describe.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

/// The decisions of one traffic thread as free functions over plain data:
/// which backend server a call goes to, when it waits, when it is refused,
/// whether it may be retried or hedged, and when a probe is due.
namespace cumingauge::policy {

/// Handle of a backend server, that is of one name on one VM. Handles are
/// never reused while the process runs.
using ServerHandle = std::uint32_t;
constexpr ServerHandle NoServer = UINT32_MAX;

using CallId = std::uint64_t;

/// What the decisions need to know of a call.
struct CallFacts {
  CallId Call_ = 0;
  std::string Caller_; ///< who it is charged to
  model::Route Route_;
  model::TimePoint Arrived_;
  model::TimePoint Deadline_;
  unsigned Attempts_ = 0;           ///< attempts made so far
  std::vector<ServerHandle> Tried_; ///< servers of these attempts
  bool Nested_ = false; ///< carries an attempt mark of an upper call
};

enum class Verdict { Dispatch, Wait, Refuse };

struct Decision {
  Verdict Verdict_ = Verdict::Refuse;
  ServerHandle Server_ = NoServer;
  model::ResultCode Reason_ = model::ResultCode::Ok; ///< with Refuse
};

/// A waiting call that can now go on or must end.
struct Release {
  CallId Call_ = 0;
  Decision Decision_; ///< Dispatch or Refuse
};

/// How an attempt ended.
enum class AttemptEnd {
  Answered,      ///< whole answer below 500
  AnsweredError, ///< whole answer, status 500 or more
  Shed,          ///< the server said that it did not run it
  Draining,      ///< the same, since it is leaving
  ConnectFailed, ///< no byte of the call left
  Broken,        ///< bytes left, no whole answer
  TimedOut,      ///< deadline passed or stalled
  Cancelled,     ///< the caller left or another attempt won
};
BOOST_DESCRIBE_ENUM(AttemptEnd, Answered, AnsweredError, Shed, Draining,
                    ConnectFailed, Broken, TimedOut, Cancelled)

/// A probe that is to be sent now.
struct ProbeOrder {
  ServerHandle Server_ = NoServer;
};

struct BalancerState;

/// \param Zone availability zone of this process.
/// \param Threads traffic threads of this process, each with its own state.
/// \param Thread number of this thread, from 0; without it the process's share
/// of the measuring budget is split evenly, which wastes some of it.
std::shared_ptr<BalancerState>
makeBalancer(const std::string &Zone, unsigned Threads, std::uint64_t Seed,
             std::optional<unsigned> Thread = std::nullopt);

/// Takes a new view. Servers that are gone or leaving get no new work from
/// now on; calls in flight there go on.
void applyView(BalancerState &State,
               const std::shared_ptr<const model::ControlView> &View,
               model::TimePoint Now);

/// Address and identity of a server.
const model::BackendServer &serverOf(const BalancerState &State,
                                     ServerHandle Server);

/// Decides on a new call or on a further attempt. With Wait, the call is in
/// the queue and comes back from releaseWaiting. With Dispatch, the attempt
/// counts as in flight until endAttempt.
Decision admit(BalancerState &State, const CallFacts &Call,
               model::TimePoint Now);

/// Takes a waiting call out of the queue, for a caller that has gone.
void forgetWaiting(BalancerState &State, CallId Call);

/// Calls of the queue that can go on or must end by now. To be called after
/// every endAttempt and at least every 5 ms while calls wait.
std::vector<Release> releaseWaiting(BalancerState &State, model::TimePoint Now);

/// Ends an attempt that admit or mayHedge dispatched.
/// \param Latency from dispatch to end.
void endAttempt(BalancerState &State, const CallFacts &Call,
                ServerHandle Server, AttemptEnd End, model::Duration Latency,
                model::TimePoint Now);

/// Takes a load report, from an answer, a probe or another process.
void noteReport(BalancerState &State, ServerHandle Server,
                const model::LoadReport &Report, model::TimePoint Now);

/// Whether a further attempt is allowed after one that ended without an
/// answer for the caller. Spends the retry budget when it says yes. Never yes
/// for a route that is not idempotent unless \p End says that the call did
/// not run.
bool mayRetry(BalancerState &State, const CallFacts &Call, AttemptEnd End,
              model::TimePoint Now);

/// When a second attempt should be considered; nothing for routes that are
/// not idempotent or when hedging is off.
std::optional<model::TimePoint> hedgeTime(const BalancerState &State,
                                          const CallFacts &Call,
                                          model::TimePoint Dispatched);

/// Chooses a server for a hedge and spends the hedge budget.
std::optional<ServerHandle>
mayHedge(BalancerState &State, const CallFacts &Call, model::TimePoint Now);

/// Probes that are due, within this process's share of the fleet's budget.
/// To be called at least every 20 ms.
std::vector<ProbeOrder> dueProbes(BalancerState &State, model::TimePoint Now);

/// A probe ended without a report.
void noteProbeFailed(BalancerState &State, ServerHandle Server,
                     model::TimePoint Now);

/// Upper limit on this thread's connections to a server, at least 1, and how
/// many of them to keep open when idle; 0 for a leaving server and for one
/// outside the thread's subset. The limits of the threads that have a server
/// in their subset add up to the preset's limit at most; one connection more
/// per thread is possible while a whole subset is out of use.
struct ConnectionShare {
  unsigned Limit_ = 1;
  unsigned Warm_ = 1;
};
ConnectionShare connectionShare(const BalancerState &State,
                                ServerHandle Server);

/// What is known of a server now, for the log.
model::AttemptTrace traceOf(const BalancerState &State, ServerHandle Server,
                            model::TimePoint Now);

/// Servers that have calls in flight or are in the view.
std::vector<model::ServerActivity> activity(const BalancerState &State);

/// Finds the handle of a server by name and VM.
std::optional<ServerHandle> findServer(const BalancerState &State,
                                       const std::string &Name,
                                       const std::string &Vm);

/// How often each reason stood behind a decision since the start.
ReasonCounts reasonCounts(const BalancerState &State);

} // namespace cumingauge::policy
