#pragma once

#include <algorithm>

namespace cumingauge::policy {

/// A budget that grows with work done, not with time: over any stretch of
/// calls the tokens spent are at most the deposits of that stretch plus Cap_.
struct TokenBucket {
  double Tokens_ = 0; ///< starts empty
  double Cap_ = 5;
};

inline void deposit(TokenBucket &Bucket, double Amount) {
  Bucket.Tokens_ = std::min(Bucket.Tokens_ + Amount, Bucket.Cap_);
}

/// Takes one token; false when there is none.
inline bool spend(TokenBucket &Bucket) {
  if (Bucket.Tokens_ < 1)
    return false;
  Bucket.Tokens_ -= 1;
  return true;
}

} // namespace cumingauge::policy
