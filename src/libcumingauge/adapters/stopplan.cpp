#include "adapters/stopplan.h"
#include <algorithm>

namespace cumingauge::adapters {

namespace {

/// Part of the drain timeout in which the last answers reach their callers.
constexpr int LastAnswersDivisor = 20;

} // namespace

StopPlan planStop(const HttpLimits &Limits, model::TimePoint Now) {
  StopPlan Out;
  Out.StartedAt_ = Now;
  Out.End_ = Now + Limits.DrainTimeout_;
  Out.AnswerBy_ = Out.End_ - Limits.DrainTimeout_ / LastAnswersDivisor;
  Out.AcceptEnd_ = Now + Limits.DrainAcceptTime_;
  Out.LastRequestAt_ = std::min(Now + Limits.DrainIdleTime_, Out.AnswerBy_);
  return Out;
}

} // namespace cumingauge::adapters
