#pragma once

#include "model/member.h"
#include <string>
#include <vector>

namespace cumingauge::control {

/// Numbers of links that a process opens by itself.
struct LinkCounts {
  unsigned InZone_ = 2;
  unsigned ToOtherZones_ = 2;
  unsigned ToOtherRegions_ = 1;
};

/// Returns the members that this process should hold a link to: its successor
/// on the ring of its zone, so that every member is monitored and the zone is
/// connected, and members ranked by rendezvous hashing in the zone, in other
/// zones (different ones where possible) and in other regions.
/// \param Candidates live members without this process.
std::vector<const model::Member *>
choosePeers(const model::Member &Self,
            const std::vector<const model::Member *> &Candidates,
            const LinkCounts &Counts);

/// Returns true when this process ranks among the first \p Count of the
/// candidates and itself for a task, by rendezvous hashing.
bool ranksAmongFirst(const model::Member &Self,
                     const std::vector<const model::Member *> &Candidates,
                     const std::string &Task, unsigned Count);

} // namespace cumingauge::control
