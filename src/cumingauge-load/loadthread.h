#pragma once

#include "emulator/calloutcome.h"
#include "emulator/loadplan.h"
#include "entrytable.h"
#include <memory>
#include <string>
#include <vector>

namespace cumingauge::load {

/// Outcomes of the calls that one load thread sent.
struct ThreadReport {
  std::vector<emulator::CallOutcome> Outcomes_;
  /// Delay of each call behind its scheduled start.
  std::vector<model::Duration> LateStarts_;
  std::uint64_t StrayBytes_ = 0; ///< received on idle connections
};

/// Returns the id of a call: the run, the thread and the index of the call's
/// outcome in the thread's report.
std::string callName(const std::string &Run, unsigned Thread,
                     std::size_t Index);

/// Runs one thread's share of the load. Blocks until each call has its outcome.
ThreadReport runLoadThread(const emulator::LoadPlan &Plan,
                           const std::string &Run, unsigned Thread,
                           model::TimePoint Start, EntryTable &Entries);

} // namespace cumingauge::load
