#pragma once

#include <algorithm>

namespace cumingauge::policy {

/// Token bucket that is filled by work done, not by time: over any series of
/// calls the tokens spent are at most the tokens deposited in it plus Cap_.
struct TokenBucket {
  double Tokens_ = 0; ///< starts empty
  double Cap_ = 5;
};

/// Adds tokens, up to the cap.
inline void deposit(TokenBucket &Bucket, double Amount) {
  Bucket.Tokens_ = std::min(Bucket.Tokens_ + Amount, Bucket.Cap_);
}

/// Takes one token; returns false when there is none.
inline bool spend(TokenBucket &Bucket) {
  if (Bucket.Tokens_ < 1)
    return false;
  Bucket.Tokens_ -= 1;
  return true;
}

} // namespace cumingauge::policy
