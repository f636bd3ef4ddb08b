#pragma once

#include "policy/admissionqueue.h"
#include "policy/latency.h"
#include "policy/probepacing.h"
#include "policy/tokenbucket.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::policy {

/// State of one service as seen by one traffic thread.
struct ServiceRecord {
  std::string Name_;
  std::vector<ServerHandle> Listed_; ///< in the view and not leaving there
  /// Listed servers that may get new calls.
  std::vector<ServerHandle> Members_;
  std::vector<ServerHandle> FormerMembers_; ///< the same in the previous view
  std::vector<ServerHandle> Subset_; ///< servers that this thread prefers
  unsigned MaxUsers_ = 0; ///< threads that may have a server in their subset
  std::uint32_t RoundRobinPosition_ = 0; ///< next position in round-robin order
  double Slots_ = 0;                     ///< sum over all members
  unsigned InFlight_ = 0;                ///< own attempts in flight
  unsigned PatientInFlight_ = 0;
  unsigned Ejected_ = 0; ///< members ejected or on probation
  /// Mean backlog per slot in the servers' reports (EWMA).
  double MeanLoad_ = 0.5;
  RouteLatency Latency_; ///< all routes together
  std::vector<RouteLatency> Routes_;
  double ReportTrust_ = 1; ///< factor on the weight of load reports, 0 to 1
  AdmissionQueue Queue_;
  TokenBucket Retries_;
  TokenBucket Hedges_;
  ProbePacer Probes_;
  /// No call is sent before; set after a shed when the share is below 1.
  model::TimePoint PausedUntil_;
};

/// Returns the latency record of a route and creates it on first use.
RouteLatency &latencyOf(ServiceRecord &Service, const std::string &Route);

/// Returns the latency record of a route, or null when it has none yet.
const RouteLatency *findLatency(const ServiceRecord &Service,
                                const std::string &Route);

} // namespace cumingauge::policy
