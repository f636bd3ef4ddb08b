#pragma once

#include "model/preset.h"
#include "model/time.h"
#include <cstdint>

/// Outlier ejection: leaves a failing backend server out for a while and lets
/// it return step by step.
namespace cumingauge::policy {

/// Whether a server gets calls.
enum class EjectionState {
  Healthy,
  Ejected,   ///< gets no calls until EjectedUntil_
  Probation, ///< gets one call at a time, after an ejection
};

/// The latest outcomes at one server and its ejection state.
struct OutlierRecord {
  EjectionState EjectionState_ = EjectionState::Healthy;
  std::uint64_t Failures_ = 0; ///< latest outcomes, one bit each, 1 = failed
  unsigned Outcomes_ = 0;      ///< valid bits, at most 64
  model::TimePoint LastFailure_;
  model::TimePoint EjectedUntil_;
  /// In a row, without a long time free of failures between.
  unsigned Ejections_ = 0;
  unsigned ProbationLeft_ = 0; ///< successful responses still needed to pass
};

/// Consequence of an outcome. On ShouldEject the caller decides whether to call
/// eject.
enum class OutlierEvent { None, ShouldEject, PassedProbation };

/// Records an outcome. ShouldEject has no effect until eject is called, because
/// the limit on ejected servers applies to the whole service.
OutlierEvent recordOutcome(OutlierRecord &Record, bool Failed,
                           const model::EjectionRule &Rule,
                           model::TimePoint Now);

/// Ejects the server; each ejection in a row lasts twice as long as the one
/// before, up to a limit.
void eject(OutlierRecord &Record, const model::EjectionRule &Rule,
           model::TimePoint Now);

/// Moves an ejected server to probation when its time has passed.
void updateEjectionState(OutlierRecord &Record, const model::EjectionRule &Rule,
                         model::TimePoint Now);

/// Returns the fraction of failures among the latest outcomes. It decays to 0
/// within a few seconds so that calls are sent to the server again.
double recentFailureShare(const OutlierRecord &Record, model::TimePoint Now);

} // namespace cumingauge::policy
