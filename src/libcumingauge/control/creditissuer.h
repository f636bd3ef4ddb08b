#pragma once

#include "control/creditbucket.h"
#include <map>
#include <string>

namespace cumingauge::control {

/// The buckets of one part from the time at which this process became its
/// issuer.
struct CreditIssuer {
  model::TimePoint Since_;
  /// Whether no other process has issued credit of this part before.
  bool IsFirst_ = false;
  std::map<std::string, CreditBucket> Buckets_; ///< by workspace
};

/// Decides a request for one call of a workspace.
/// \param Quota of the workspace on the whole fleet.
CreditDecision issueCredit(CreditIssuer &Issuer, const std::string &Workspace,
                           const model::CallQuota &Quota, model::TimePoint Now);

} // namespace cumingauge::control
