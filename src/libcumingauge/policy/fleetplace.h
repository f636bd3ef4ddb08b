#pragma once

namespace cumingauge::policy {

/// A traffic thread's place among all traffic threads of the fleet.
struct FleetPlace {
  unsigned Deciders_ = 1; ///< traffic threads of the fleet
  unsigned Place_ = 0;    ///< unique among them when views agree
};

} // namespace cumingauge::policy
