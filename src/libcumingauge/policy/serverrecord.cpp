#include "policy/serverrecord.h"
#include <algorithm>

namespace cumingauge::policy {

double rampFactor(const ServerRecord &Record, model::Duration SlowStart,
                  model::TimePoint Now) {
  constexpr double Least = 0.1;
  const model::Duration Since = Now - Record.RampStart_;
  if (Record.RampStart_ == model::TimePoint() || Since >= SlowStart)
    return 1;
  return std::max(Least, static_cast<double>(Since.count()) /
                             static_cast<double>(SlowStart.count()));
}

} // namespace cumingauge::policy
