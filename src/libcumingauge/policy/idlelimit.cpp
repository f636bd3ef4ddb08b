#include "policy/idlelimit.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

// Part of the limit that callers are told. The rest covers the way of a request
// and a thread that is held up.
constexpr int ToldNumerator = 4;
constexpr int ToldDenominator = 5;

} // namespace

IdleTerms idleTerms(model::milliseconds Limit) {
  return {Limit, std::chrono::floor<model::seconds>(Limit * ToldNumerator /
                                                    ToldDenominator)};
}

model::milliseconds keptIdleFor(const IdleTerms &Terms,
                                model::milliseconds LimitNow) {
  return std::max(Terms.Limit_, LimitNow);
}

} // namespace cumingauge::policy
