#include "policy/retry.h"

namespace cumingauge::policy {

namespace {

/// Depth of nested calls over which the budget of a top call is spread.
constexpr double NestedLayers = 19;

} // namespace

bool didNotRun(AttemptEnd End) {
  return End == AttemptEnd::Shed || End == AttemptEnd::Draining ||
         End == AttemptEnd::ConnectFailed;
}

bool isRetryTruthful(const CallFacts &Call, AttemptEnd End) {
  if (End == AttemptEnd::Answered || End == AttemptEnd::Cancelled)
    return false;
  return didNotRun(End) || Call.Route_.Idempotent_;
}

void depositFor(ServiceRecord &Service, const CallFacts &Call,
                const model::Preset &Preset) {
  if (Call.Attempts_ > 0)
    return;
  const double Part = Call.Nested_ ? 1 / NestedLayers : 1;
  deposit(Service.Retries_, Preset.Retry_.Ratio_ * Part);
  deposit(Service.Hedges_, Preset.Hedge_.Ratio_ * Part);
}

} // namespace cumingauge::policy
