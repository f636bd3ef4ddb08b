#include "control/creditbucket.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using Seconds = std::chrono::duration<double>;

/// Tokens beyond its share of the burst that each part holds, as requests are
/// not spread evenly over the parts.
constexpr double ExtraTokens = 2;
constexpr model::milliseconds MaxRetryAfter{10000};
constexpr model::milliseconds MinRetryAfter{1};

void fill(CreditBucket &Bucket, const model::CallQuota &Part,
          model::TimePoint Now) {
  const Seconds Elapsed =
      std::max(Now - Bucket.FilledAt_, model::Duration::zero());
  const double Gained = Part.RequestsPerSecond_ * Elapsed.count();
  Bucket.Tokens_ = std::min(Bucket.Tokens_ + Gained, Part.Burst_);
  Bucket.Booked_ = std::max(Bucket.Booked_ - Gained, 0.0);
  Bucket.FilledAt_ = std::max(Bucket.FilledAt_, Now);
}

model::milliseconds timeUntilCredit(const CreditBucket &Bucket, double Rate) {
  const double Missing = 1 - Bucket.Tokens_ + Bucket.Booked_;
  if (Rate <= 0 || Missing / Rate >= Seconds(MaxRetryAfter).count())
    return MaxRetryAfter;
  return std::max(MinRetryAfter, std::chrono::ceil<model::milliseconds>(
                                     Seconds(Missing / Rate)));
}

} // namespace

model::CallQuota partOf(const model::CallQuota &Whole) {
  return {Whole.RequestsPerSecond_ / CreditParts,
          Whole.Burst_ / CreditParts + ExtraTokens};
}

CreditDecision takeCredit(CreditBucket &Bucket, const model::CallQuota &Part,
                          model::TimePoint Now) {
  fill(Bucket, Part, Now);
  if (Bucket.Tokens_ >= 1) {
    Bucket.Tokens_ -= 1;
    return {CreditAnswer::Granted, model::milliseconds(0)};
  }
  const double Rate = Part.RequestsPerSecond_;
  const CreditDecision Out{CreditAnswer::Refused,
                           timeUntilCredit(Bucket, Rate)};
  // A caller that is refused has asked several parts and returns to one.
  Bucket.Booked_ = std::min(Bucket.Booked_ + 1.0 / MaxCreditRefusals,
                            Rate * Seconds(MaxRetryAfter).count());
  return Out;
}

} // namespace cumingauge::control
