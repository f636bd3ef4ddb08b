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

/// The decisions of one traffic thread, as free functions over plain data:
/// which backend server a call is sent to, when it waits, when it is refused,
/// whether it may be retried or hedged, and when a probe is due.
namespace cumingauge::policy {

/// Handle of a backend server, identified by its name and VM. Handles are never
/// reused while the process runs.
using ServerHandle = std::uint32_t;
constexpr ServerHandle NoServer = UINT32_MAX;

using CallId = std::uint64_t;

/// What the decisions need to know about a call.
struct CallFacts {
  CallId Call_ = 0;
  std::string Caller_; ///< caller that the call is charged to
  model::Route Route_;
  model::TimePoint Arrived_;
  model::TimePoint Deadline_;
  unsigned Attempts_ = 0;           ///< attempts made so far
  unsigned Withdrawn_ = 0;          ///< of these, withdrawn before a byte left
  std::vector<ServerHandle> Tried_; ///< servers of these attempts
  bool Nested_ = false; ///< carries the attempt mark of an upper layer
};

enum class Verdict { Dispatch, Wait, Refuse };

struct Decision {
  Verdict Verdict_ = Verdict::Refuse;
  ServerHandle Server_ = NoServer;
  model::ResultCode Reason_ = model::ResultCode::Ok; ///< with Refuse
  /// With Refuse: when the caller should try again; zero: no advice.
  model::Duration RetryAfter_{0};
};

/// A queued call that is now dispatched or refused.
struct Release {
  CallId Call_ = 0;
  Decision Decision_; ///< never Wait
};

/// How an attempt ended.
enum class AttemptEnd {
  Answered,      ///< complete response with a status below 500
  AnsweredError, ///< complete response with a status of 500 or more
  Shed,          ///< the server refused the call without running it
  Draining,      ///< the same, because the server is draining
  ConnectFailed, ///< no byte of the call was sent
  Broken,        ///< bytes were sent, but no complete response came
  TimedOut,      ///< the deadline passed or the attempt stalled
  Cancelled, ///< the caller disconnected or another attempt was answered first
  Withdrawn, ///< no byte was sent, as the call may not go there any more
};
BOOST_DESCRIBE_ENUM(AttemptEnd, Answered, AnsweredError, Shed, Draining,
                    ConnectFailed, Broken, TimedOut, Cancelled, Withdrawn)

/// A probe that should be sent now.
struct DueProbe {
  ServerHandle Server_ = NoServer;
};

struct BalancerState;

/// Creates the state of one traffic thread.
/// \param Zone availability zone of this process.
/// \param Threads traffic threads of this process, each with its own state.
/// \param Thread number of this thread, from 0; without it the process's share
/// of the measuring budget is split evenly, which wastes some of it.
std::shared_ptr<BalancerState>
makeBalancer(const std::string &Zone, unsigned Threads, std::uint64_t Seed,
             std::optional<unsigned> Thread = std::nullopt);

/// Applies a new view. Servers that are no longer in it or leaving get no new
/// calls from now on; calls in flight to them continue.
void applyView(BalancerState &State,
               const std::shared_ptr<const model::ControlView> &View,
               model::TimePoint Now);

/// Returns the address and identity of a server.
const model::BackendServer &serverOf(const BalancerState &State,
                                     ServerHandle Server);

/// Decides on a new call or a further attempt. With Wait, the call is queued
/// and is later returned by releaseWaiting. With Dispatch, the attempt counts
/// as in flight until endAttempt.
Decision admit(BalancerState &State, const CallFacts &Call,
               model::TimePoint Now);

/// Returns the refusal of a call for which there is no time, no server or no
/// place in the queue now, before anything is spent on it. Such a call counts
/// for the budgets as a refused one; any other must be admitted later.
std::optional<Decision> refuseInAdvance(BalancerState &State,
                                        const CallFacts &Call,
                                        model::TimePoint Now);

/// Removes a waiting call from the queue, because its caller has disconnected.
void removeFromQueue(BalancerState &State, CallId Call);

/// Returns the queued calls that are dispatched or refused now. Must be called
/// after every endAttempt, and at least every 5 ms while calls wait.
std::vector<Release> releaseWaiting(BalancerState &State, model::TimePoint Now);

/// Records the end of an attempt that admit or tryHedge dispatched.
/// \param Latency from dispatch to end.
void endAttempt(BalancerState &State, const CallFacts &Call,
                ServerHandle Server, AttemptEnd End, model::Duration Latency,
                model::TimePoint Now);

/// Applies a load report that came with a response, from a probe or from
/// another process.
void recordReport(BalancerState &State, ServerHandle Server,
                  const model::LoadReport &Report, model::TimePoint Now);

/// Takes a token from the retry budget for a further attempt after one that
/// ended without a response for the caller. After ConnectFailed and Withdrawn
/// no token is needed; the latter does not count towards the limit on attempts.
/// \returns whether the further attempt is allowed; never true for a route that
/// is not idempotent, unless \p End means that the call did not run.
bool tryRetry(BalancerState &State, const CallFacts &Call, AttemptEnd End,
              model::TimePoint Now);

/// Returns when a hedge should be considered; nothing for routes that are not
/// idempotent or when hedging is off.
std::optional<model::TimePoint> hedgeTime(const BalancerState &State,
                                          const CallFacts &Call,
                                          model::TimePoint Dispatched);

/// Chooses a server for a hedge and takes a token from the hedge budget. The
/// hedge counts as in flight until endAttempt.
/// \returns nothing when no hedge may be sent.
std::optional<ServerHandle>
tryHedge(BalancerState &State, const CallFacts &Call, model::TimePoint Now);

/// Returns the probes that are due, within this process's share of the fleet's
/// probe budget. Must be called at least every 20 ms.
std::vector<DueProbe> dueProbes(BalancerState &State, model::TimePoint Now);

/// Records that a probe ended without a report.
void recordProbeFailure(BalancerState &State, ServerHandle Server,
                        model::TimePoint Now);

/// Limits on this thread's connections to one server: the highest number, at
/// least 1, and how many to keep open when idle. The latter is 0 for a leaving
/// server and for one outside the thread's subset. The limits of the threads
/// that have a server in their subset add up to at most the preset's limit;
/// each thread may open one more connection while its whole subset is unusable.
struct ConnectionShare {
  unsigned Limit_ = 1;
  unsigned Warm_ = 1;
};
ConnectionShare connectionShare(const BalancerState &State,
                                ServerHandle Server);

/// Returns what is known about a server now, for the log.
model::AttemptTrace traceOf(const BalancerState &State, ServerHandle Server,
                            model::TimePoint Now);

/// Returns the servers that have calls in flight or are in the view.
std::vector<model::ServerActivity> activity(const BalancerState &State);

/// Finds the handle of a server by name and VM.
std::optional<ServerHandle> findServer(const BalancerState &State,
                                       const std::string &Name,
                                       const std::string &Vm);

/// Returns how often each reason led to a decision since the start.
ReasonCounts reasonCounts(const BalancerState &State);

} // namespace cumingauge::policy
