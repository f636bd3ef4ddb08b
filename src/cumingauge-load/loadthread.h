#pragma once

#include "emulator/calloutcome.h"
#include "emulator/loadplan.h"
#include "entrytable.h"
#include <memory>
#include <string>
#include <vector>

namespace cumingauge::load {

/// What one thread of the load has seen.
struct ThreadReport {
  std::vector<emulator::CallOutcome> Outcomes_;
  std::vector<model::Duration> LateStarts_; ///< how late each call was sent
  std::uint64_t StrayBytes_ = 0;
};

/// Identity of a call by its place in a thread's report.
std::string callName(const std::string &Run, unsigned Thread,
                     std::size_t Index);

/// Runs one thread's share of the load and returns when each call has its
/// outcome. Blocks.
ThreadReport runLoadThread(const emulator::LoadPlan &Plan,
                           const std::string &Run, unsigned Thread,
                           model::TimePoint Start, EntryTable &Entries);

} // namespace cumingauge::load
