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
  bool Cancels_ = false; ///< the caller cancels the call
};

/// Poisson arrivals of one load thread. They depend on the plan and its seed
/// alone: the answers do not influence when calls start (open loop).
struct Schedule {
  LoadPlan Plan_;
  pcg32 Random_;
  model::Duration Last_{0};
  double PeakPerSecond_ = 0; ///< highest rate of this thread over all phases
};

/// Returns the schedule of one load thread. /// \param Thread index of the
/// thread that gets this share of the load.
Schedule makeSchedule(const LoadPlan &Plan, unsigned Thread);

/// Returns the next call; nothing after the end of the run.
std::optional<PlannedCall> nextCall(Schedule &State);

} // namespace cumingauge::emulator
