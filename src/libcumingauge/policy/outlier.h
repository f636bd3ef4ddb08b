#pragma once

#include "model/preset.h"
#include "model/time.h"
#include <cstdint>

/// Leaves a failing backend server out for a while and lets it back by steps.
namespace cumingauge::policy {

enum class Standing {
  Good,
  Ejected,   ///< gets no call until a time has passed
  Probation, ///< gets one call at a time
};

/// The latest outcomes at one server and what follows from them.
struct OutlierRecord {
  Standing Standing_ = Standing::Good;
  std::uint64_t Failures_ = 0; ///< latest outcomes, one bit each, 1 = failed
  unsigned Outcomes_ = 0;      ///< valid bits, at most 64
  model::TimePoint LastFailure_;
  model::TimePoint EjectedUntil_;
  unsigned Ejections_ = 0;     ///< in a row, without a good spell between
  unsigned ProbationLeft_ = 0; ///< good answers still wanted
};

/// What an outcome led to.
enum class OutlierStep { None, WantsEjection, PassedProbation };

/// Notes an outcome. WantsEjection has no effect until eject is called, since
/// the ceiling is a matter of the whole service.
OutlierStep noteOutcome(OutlierRecord &Record, bool Failed,
                        const model::EjectionRule &Rule, model::TimePoint Now);

void eject(OutlierRecord &Record, const model::EjectionRule &Rule,
           model::TimePoint Now);

/// Moves an ejected server whose time has passed to probation.
void refreshStanding(OutlierRecord &Record, const model::EjectionRule &Rule,
                     model::TimePoint Now);

/// Share of failures among the latest outcomes, fading to nothing in a few
/// seconds so that the server is tried again.
double recentFailureShare(const OutlierRecord &Record, model::TimePoint Now);

} // namespace cumingauge::policy
