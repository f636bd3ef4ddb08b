#pragma once

#include "model/backendserver.h"
#include "model/time.h"
#include "policy/latency.h"
#include "policy/outlier.h"
#include "policy/reports.h"
#include <cstdint>

namespace cumingauge::policy {

/// State of one backend server as seen by one traffic thread.
struct ServerRecord {
  model::BackendServer Server_;
  std::uint32_t Service_ = 0; ///< index into BalancerState::Services_
  double Slots_ = 1;          ///< as reported, or as configured before a report
  bool Present_ = false;      ///< is in the view
  bool Leaving_ = false;      ///< marked as leaving, or in an evacuated zone
  bool Evacuated_ = false;    ///< its availability zone is evacuated
  bool Draining_ = false;     ///< reported draining by the server
  bool AnnouncedLeaving_ = false; ///< by its own answer; never taken back
  model::TimePoint PausedUntil_;  ///< by its own answer
  /// By its entry or its own answer; in the past when it is warm.
  model::TimePoint ColdUntil_;
  /// Calls that this thread may send it in a cold call interval while it is
  /// cold; 0: none.
  unsigned ColdAllowance_ = 0;
  bool SameZone_ = false;
  bool InSubset_ = false;   ///< is in the subset that this thread prefers
  unsigned InFlight_ = 0;   ///< own attempts in flight
  long long SentAtSum_ = 0; ///< sum of their send times, ns since the epoch
  ReportRecord Report_;
  /// Reported time that work takes, relative to the usual; 1 is usual speed.
  double Pace_ = 1;
  model::TimePoint QueriedAt_; ///< last load query
  Slowness Slowness_;
  OutlierRecord Outlier_;
  /// Start of slow start; the epoch when there is none.
  model::TimePoint RampStart_;
};

/// Returns the fraction of the normal load that a cold or returning server gets
/// during slow start, 0.1 to 1.
double rampFactor(const ServerRecord &Record, model::Duration SlowStart,
                  model::TimePoint Now);

} // namespace cumingauge::policy
