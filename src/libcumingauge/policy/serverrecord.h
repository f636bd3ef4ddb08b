#pragma once

#include "model/backendserver.h"
#include "model/time.h"
#include "policy/latency.h"
#include "policy/outlier.h"
#include "policy/reports.h"
#include <cstdint>

namespace cumingauge::policy {

/// What one traffic thread knows of one backend server.
struct ServerRecord {
  model::BackendServer Server_;
  std::uint32_t Service_ = 0; ///< place in the list of services
  double Slots_ = 1;          ///< as reported, else as configured
  bool Present_ = false;      ///< is in the view
  bool Leaving_ = false;      ///< by the view
  bool Draining_ = false;     ///< by its own word
  bool SameZone_ = false;
  bool InSubset_ = false;   ///< of the servers this thread prefers
  unsigned InFlight_ = 0;   ///< own attempts under way
  long long SentAtSum_ = 0; ///< of their send times, ns since the epoch
  ReportMemory Report_;
  double Pace_ = 1; ///< time that work takes there, of the usual, as reported
  model::TimePoint LookedAt_; ///< last look right before a call
  Slowness Slowness_;
  OutlierRecord Outlier_;
  model::TimePoint RampStart_; ///< the epoch when it is not ramping
};

/// Share of the usual load that a cold or returning server gets, 0.1 to 1.
double rampFactor(const ServerRecord &Record, model::Duration SlowStart,
                  model::TimePoint Now);

} // namespace cumingauge::policy
