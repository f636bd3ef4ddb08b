#pragma once

namespace cumingauge::policy {

/// A traffic thread's place among all traffic threads of the fleet.
struct FleetPlace {
  unsigned Deciders_ = 1; ///< traffic threads of the fleet
  unsigned Place_ = 0;    ///< unique among them when views agree
};

inline bool operator!=(const FleetPlace &Left, const FleetPlace &Right) {
  return Left.Deciders_ != Right.Deciders_ || Left.Place_ != Right.Place_;
}

} // namespace cumingauge::policy
