#pragma once

#include "model/time.h"
#include <algorithm>
#include <cstdint>

namespace cumingauge::emulator {

/// Number of probes of one backend server, in total and at most within one
/// second.
struct ProbeCounter {
  std::uint64_t Total_ = 0;
  std::uint64_t PeakPerSecond_ = 0;
  std::uint64_t ThisSecond_ = 0; ///< since SecondStarted_
  model::TimePoint SecondStarted_;
};

/// Counts a probe. A new second begins with the first probe that arrives one
/// second or more after the previous one began.
inline void countProbe(ProbeCounter &Counter, model::TimePoint Now) {
  ++Counter.Total_;
  if (Now - Counter.SecondStarted_ >= model::seconds(1)) {
    Counter.SecondStarted_ = Now;
    Counter.ThisSecond_ = 0;
  }
  Counter.PeakPerSecond_ =
      std::max(Counter.PeakPerSecond_, ++Counter.ThisSecond_);
}

} // namespace cumingauge::emulator
