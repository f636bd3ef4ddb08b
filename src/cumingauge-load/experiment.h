#pragma once

#include "emulator/loadplan.h"
#include "emulator/loadresult.h"

namespace cumingauge::load {

/// Runs the plan: sends the calls and the actions at their times, then compares
/// the outcomes of the calls with the journals of the backend servers. Blocks.
emulator::LoadResult runExperiment(const emulator::LoadPlan &Plan);

} // namespace cumingauge::load
