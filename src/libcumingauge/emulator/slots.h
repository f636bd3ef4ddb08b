#pragma once

#include "emulator/behaviour.h"
#include "model/loadreport.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace cumingauge::emulator {

/// Identifies a call or a probe within a server.
using WorkId = std::uint64_t;

/// Result of admitWork: the work starts, is queued, or is refused for a reason.
enum class Admission { Started, Queued, Shed, Draining, Cold };

/// Running and waiting work at one time, kept for reports that lag.
struct LoadSample {
  model::TimePoint At_;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
};

/// Slots and queue of a backend server.
struct Slots {
  model::TimePoint Started_;
  unsigned Running_ = 0;
  std::deque<WorkId> Waiting_;
  std::deque<LoadSample> History_;
};

/// Gives work a slot, queues it, or returns why it is refused. endWork returns
/// queued work when it can start.
Admission admitWork(Slots &State, const Behaviour &Config, WorkId Work,
                    model::TimePoint Now);

/// Frees a slot and returns the queued work that starts in its place, if any.
std::optional<WorkId> endWork(Slots &State, const Behaviour &Config,
                              model::TimePoint Now);

/// Removes work from the queue. Returns false when it was not queued.
bool removeWaitingWork(Slots &State, WorkId Work, model::TimePoint Now);

/// Returns the load report of the server, with the lag, factor and flags that
/// \p Config sets.
model::LoadReport reportLoad(const Slots &State, const Behaviour &Config,
                             model::TimePoint Now);

} // namespace cumingauge::emulator
