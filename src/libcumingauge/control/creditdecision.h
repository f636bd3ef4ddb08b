#pragma once

#include "model/time.h"

namespace cumingauge::control {

/// Whether a call of a workspace with a quota may be started.
enum class CreditAnswer {
  Granted, ///< the call counts as started
  Refused, ///< the quota of the whole fleet is used up
  Unknown, ///< no issuer of credit answered in time
};

/// Answer to one request for credit.
struct CreditDecision {
  CreditAnswer Answer_ = CreditAnswer::Unknown;
  /// Time until credit is expected for the caller; zero unless refused.
  model::milliseconds RetryAfter_{0};
};

} // namespace cumingauge::control
