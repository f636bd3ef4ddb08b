#pragma once

#include "emulator/behaviour.h"
#include "model/loadreport.h"
#include <cstdint>
#include <deque>
#include <optional>

namespace cumingauge::emulator {

using WorkId = std::uint64_t;

/// What happens to work that arrives at a backend server.
enum class Admission { Started, Queued, Shed, Draining, Cold };

/// Figures at one time, for reports that lag.
struct LoadSample {
  model::TimePoint At_;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
};

/// Slots and queue of a backend server as plain state.
struct Slots {
  model::TimePoint Started_;
  unsigned Running_ = 0;
  std::deque<WorkId> Waiting_;
  std::deque<LoadSample> History_;
};

/// Takes work in, or says why not. With Waits, it comes back from endWork.
Admission admitWork(Slots &State, const Behaviour &Config, WorkId Work,
                    model::TimePoint Now);

/// Frees a slot; the work that starts in its place, if any.
std::optional<WorkId> endWork(Slots &State, const Behaviour &Config,
                              model::TimePoint Now);

/// Takes waiting work out of the queue. False when it was not there.
bool removeWaitingWork(Slots &State, WorkId Work, model::TimePoint Now);

/// What the server says about itself: late and wrong as its rules tell.
model::LoadReport reportLoad(const Slots &State, const Behaviour &Config,
                             model::TimePoint Now);

} // namespace cumingauge::emulator
