#pragma once

#include "control/creditdecision.h"
#include "model/answerfault.h"
#include "model/resultcode.h"
#include "model/time.h"
#include "traffic/connectionend.h"
#include "traffic/latencyhistogram.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cumingauge::traffic {

/// Counters of the calls of one route. Latencies run from the arrival of the
/// call to the end of its answer.
struct RouteStats {
  std::map<model::ResultCode, std::uint64_t> Calls_;
  LatencyHistogram Latencies_;
};

/// Counters of the credit of calls whose workspace has a quota.
struct CreditStats {
  std::map<control::CreditAnswer, std::uint64_t> Answers_;
  /// Time from request to answer, or to the end of a call without one.
  LatencyHistogram Waits_;
  std::uint64_t EndedWaits_ = 0;   ///< of calls that ended without an answer
  std::uint64_t RefusedWaits_ = 0; ///< as too many of the workspace waited
  std::uint64_t UnusedGrants_ = 0; ///< that came when their calls had ended
  std::uint64_t Waiting_ = 0;      ///< calls that wait now
};

/// Server and fault whose faulty answers are counted together.
using AnswerFaultKey = std::pair<std::string, model::AnswerFault>;

/// Counters of the traffic threads since the process started. InFlight_,
/// Queued_ and the numbers of connections are current values.
struct TrafficStats {
  /// By name of the route; the empty name counts calls without a route.
  std::map<std::string, RouteStats> Routes_;
  std::uint64_t InFlight_ = 0;
  std::uint64_t Queued_ = 0;
  std::uint64_t CallerConnections_ = 0;
  std::uint64_t BackendConnections_ = 0;
  std::uint64_t Attempts_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Hedges_ = 0;
  /// Attempts that ended before a byte left, as the call may not go there any
  /// more.
  std::uint64_t Withdrawn_ = 0;
  std::uint64_t ProbesSent_ = 0;
  std::uint64_t ProbesFailed_ = 0;
  std::uint64_t StoppingCalls_ = 0; ///< ended calls that arrived in a stop
  /// Calls that were not answered when the process ended.
  std::uint64_t AbandonedCalls_ = 0;
  /// Servers, summed over the threads, that get no calls because of their own
  /// answers.
  std::uint64_t AnnouncedLeaving_ = 0;
  std::uint64_t PausedServers_ = 0;
  std::uint64_t ColdServers_ = 0;       ///< cold, with a limit on their calls
  std::uint64_t ColdServersClosed_ = 0; ///< of these, closed to the process
  /// Answers of servers whose announcement of a leave or a pause is invalid.
  std::uint64_t UnreadableNotices_ = 0;
  /// Connections on which bytes arrived after they were closed.
  std::uint64_t DiscardingConnections_ = 0;
  std::uint64_t CallerMemoryBytes_ = 0; ///< held by callers' connections
  std::uint64_t CallerMemoryBound_ = 0; ///< in bytes
  /// Connections of callers that were evicted, by what they waited for.
  std::map<std::string, std::uint64_t> Evicted_;
  /// Connections of callers whose end was decided, by reason.
  std::map<ConnectionEnd, std::uint64_t> ConnectionEnds_;
  /// Answers to calls and probes that were refused or broke off.
  std::map<AnswerFaultKey, std::uint64_t> FaultyAnswers_;
  CreditStats Credit_;
};

/// Counts one call that has ended.
/// \param Latency from the call's arrival to the end of its answer.
void recordCall(RouteStats &Stats, model::ResultCode Code,
                model::Duration Latency);

/// Counts the answer to a request for credit.
/// \param Waited since the request; absent: the call has ended meanwhile.
void recordCredit(CreditStats &Stats, control::CreditAnswer Answer,
                  std::optional<model::Duration> Waited);

/// Counts a wait for credit that ended without an answer.
void recordCreditWaitEnd(CreditStats &Stats, model::Duration Waited);

/// Counts one faulty answer. Those of servers beyond the first few hundred are
/// counted together, as of the server "other".
void recordFaultyAnswer(TrafficStats &Stats, std::string_view Server,
                        model::AnswerFault Fault);

/// Adds the counters of one thread to a sum.
void addStats(TrafficStats &Sum, const TrafficStats &Part);

} // namespace cumingauge::traffic
