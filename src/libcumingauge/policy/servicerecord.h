#pragma once

#include "policy/entryqueue.h"
#include "policy/latency.h"
#include "policy/measuring.h"
#include "policy/tokenbucket.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::policy {

/// What one traffic thread knows of one service.
struct ServiceRecord {
  std::string Name_;
  std::vector<ServerHandle> Members_;       ///< handles that may get new work
  std::vector<ServerHandle> FormerMembers_; ///< of the view before
  std::vector<ServerHandle> Subset_;        ///< those this process prefers
  std::uint32_t NextInTurn_ = 0;            ///< position of the round robin
  double Slots_ = 0;                        ///< of all members
  unsigned InFlight_ = 0;                   ///< own attempts under way
  unsigned PatientInFlight_ = 0;
  unsigned Ejected_ = 0;   ///< members ejected or on probation
  double UsualLoad_ = 0.5; ///< backlog per slot over the servers' reports
  RouteLatency Latency_;   ///< of all routes together
  std::vector<RouteLatency> Routes_;
  double ReportTrust_ = 1; ///< factor on the weight of reports, 0 to 1
  EntryQueue Queue_;
  TokenBucket Retries_;
  TokenBucket Hedges_;
  ProbeClock Probes_;
  model::TimePoint HeldUntil_; ///< after a shed, when the share is below 1
};

/// Latency record of a route, made on first use.
RouteLatency &latencyOf(ServiceRecord &Service, const std::string &Route);

/// The same, or null when the route has none yet.
const RouteLatency *findLatency(const ServiceRecord &Service,
                                const std::string &Route);

} // namespace cumingauge::policy
