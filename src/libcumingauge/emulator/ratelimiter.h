#pragma once

#include "model/time.h"
#include <algorithm>

namespace cumingauge::emulator {

/// Token bucket that holds at most the tokens of one second.
struct RateLimiter {
  double PerSecond_ = 0; ///< 0 sets no limit
  double Tokens_ = 0;
  model::TimePoint Updated_;
};

/// Takes one token; returns false when the bucket is empty.
inline bool takeToken(RateLimiter &Limiter, model::TimePoint Now) {
  if (Limiter.PerSecond_ <= 0)
    return true;
  const std::chrono::duration<double> Passed = Now - Limiter.Updated_;
  Limiter.Updated_ = Now;
  Limiter.Tokens_ =
      std::min(Limiter.PerSecond_,
               Limiter.Tokens_ + Passed.count() * Limiter.PerSecond_);
  if (Limiter.Tokens_ < 1)
    return false;
  Limiter.Tokens_ -= 1;
  return true;
}

} // namespace cumingauge::emulator
