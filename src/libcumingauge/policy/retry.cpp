#include "policy/retry.h"

namespace cumingauge::policy {

bool didNotRun(AttemptEnd End) {
  return End == AttemptEnd::Shed || End == AttemptEnd::Draining ||
         End == AttemptEnd::ConnectFailed || End == AttemptEnd::Withdrawn;
}

bool isRetrySafe(const CallFacts &Call, AttemptEnd End) {
  if (End == AttemptEnd::Answered || End == AttemptEnd::Cancelled)
    return false;
  return didNotRun(End) || Call.Route_.Idempotent_;
}

void depositBudgets(ServiceRecord &Service, const CallFacts &Call,
                    const model::Preset &Preset) {
  if (Call.Attempts_ > 0 || Call.Nested_)
    return;
  deposit(Service.Retries_, Preset.Retry_.Ratio_);
  deposit(Service.Hedges_, Preset.Hedge_.Ratio_);
}

} // namespace cumingauge::policy
