#include "control/creditissuer.h"

namespace cumingauge::control {

CreditDecision issueCredit(CreditIssuer &Issuer, const std::string &Workspace,
                           const model::CallQuota &Quota,
                           model::TimePoint Now) {
  const model::CallQuota Part = partOf(Quota);
  const auto [Found, IsNew] = Issuer.Buckets_.try_emplace(Workspace);
  CreditBucket &Bucket = Found->second;
  if (IsNew) {
    // A former issuer may have granted its last credit right before.
    Bucket.Tokens_ = Issuer.IsFirst_ ? Part.Burst_ : 0;
    Bucket.FilledAt_ = Issuer.Since_;
  }
  return takeCredit(Bucket, Part, Now);
}

} // namespace cumingauge::control
