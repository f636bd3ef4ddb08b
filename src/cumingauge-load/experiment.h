#pragma once

#include "emulator/loadplan.h"
#include "emulator/loadresult.h"

namespace cumingauge::load {

/// Runs the plan: load, actions at their times, then the comparison with the
/// journals. Blocks.
emulator::LoadResult runExperiment(const emulator::LoadPlan &Plan);

} // namespace cumingauge::load
