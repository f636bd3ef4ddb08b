#pragma once

#include "model/configstate.h"
#include "model/time.h"
#include <memory>
#include <set>
#include <string>

namespace cumingauge::model {

/// What the control thread hands to the traffic threads. Immutable; replaced
/// as a whole.
struct ControlView {
  std::shared_ptr<const ConfigState> Config_;
  std::set<std::string> LeavingServers_; ///< by mark, VM list or own word
  unsigned FleetSize_ = 1; ///< larger of VM list and peers, at least 1
  unsigned FleetRank_ = 0; ///< place of this process among the members
  /// The same among those of the own availability zone; 0 where the zone's
  /// members are not counted.
  unsigned ZoneSize_ = 0;
  unsigned ZoneRank_ = 0;
  /// Places among which the probing budget is shared, and the own one. They
  /// also count processes that ended without a goodbye a short while ago, for
  /// these may be beyond a partition and still sending probes.
  unsigned ProbePlaces_ = 1;
  unsigned ProbeRank_ = 0;
  bool Confirmed_ = false; ///< state was seen in the store, not just peers
};

} // namespace cumingauge::model
