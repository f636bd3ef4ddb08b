#include "control/freshness.h"
#include <algorithm>

namespace cumingauge::control {

model::TimePoint dispatchDeadline(const FreshnessFacts &Facts,
                                  const FreshnessLimits &Limits) {
  if (Facts.AllowsStaleView_)
    return model::TimePoint::max();
  const model::TimePoint Running = Facts.LastStep_ + Limits.Limit_;
  const bool Alone = !Facts.OthersKnown_ && !Facts.HasLinks_;
  if (Alone && Facts.StoreAway_)
    return Running;
  if (!Facts.LastExchange_)
    return model::TimePoint();
  const bool Isolated = !Facts.HasLinks_ && Facts.StoreAway_;
  const model::TimePoint Known =
      *Facts.LastExchange_ + Limits.Limit_ +
      (Isolated ? Limits.IsolationGrace_ : model::Duration::zero());
  return std::min(Running, Known);
}

bool mayDispatch(const FreshnessFacts &Facts, const FreshnessLimits &Limits,
                 model::TimePoint Now) {
  return Now < dispatchDeadline(Facts, Limits);
}

} // namespace cumingauge::control
