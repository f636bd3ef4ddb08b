#pragma once

#include <chrono>

namespace cumingauge::model {

/// A reading of the monotonic clock. Code that decides by time gets the reading
/// as an argument instead of reading the clock, so that tests can set it.
using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

} // namespace cumingauge::model
