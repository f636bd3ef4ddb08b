#pragma once

#include "emulator/loadplan.h"
#include <cstdint>
#include <optional>
#include <pcg_random.hpp>

namespace cumingauge::emulator {

/// One call of the schedule.
struct PlannedCall {
  model::Duration At_{0}; ///< since the start of the run
  std::uint32_t Route_ = 0;
  std::uint32_t Caller_ = 0;
  bool Cancels_ = false;
};

/// Poisson arrivals of one thread of the load, by seed alone: what the
/// answers do has no influence on when calls start.
struct Schedule {
  LoadPlan Plan_;
  pcg32 Random_;
  model::Duration Last_{0};
  double PeakPerSecond_ = 0; ///< of this thread over all phases
};

/// \param Thread index of the thread that gets this share of the load.
Schedule makeSchedule(const LoadPlan &Plan, unsigned Thread);

/// The next call; nothing after the end of the run.
std::optional<PlannedCall> nextCall(Schedule &State);

} // namespace cumingauge::emulator
