#pragma once

#include "control/creditdecision.h"
#include "model/callquota.h"
#include "model/time.h"

/// Token bucket for the credit that one part of a quota issues.
namespace cumingauge::control {

/// Number of parts into which each quota is divided. A process is the issuer of
/// whole parts.
constexpr unsigned CreditParts = 6;

/// Number of refusals after which only parts that have not refused last are
/// asked for a call.
constexpr unsigned MaxCreditRefusals = 3;

/// Returns the rate and the capacity of one part of a quota.
model::CallQuota partOf(const model::CallQuota &Whole);

/// Credit of one workspace in one part.
struct CreditBucket {
  double Tokens_ = 0;
  /// Tokens that callers who were refused are expected to return for.
  double Booked_ = 0;
  model::TimePoint FilledAt_; ///< Tokens_ were counted then
};

/// Takes one token, or returns when one is expected for this caller. The quota
/// may differ from call to call: a lower one cuts the tokens at once.
/// \param Part rate and capacity of this part.
CreditDecision takeCredit(CreditBucket &Bucket, const model::CallQuota &Part,
                          model::TimePoint Now);

} // namespace cumingauge::control
