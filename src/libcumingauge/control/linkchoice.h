#pragma once

#include "model/member.h"
#include <string>
#include <vector>

namespace cumingauge::control {

/// How many links a process opens by itself.
struct LinkCounts {
  unsigned InZone_ = 2;
  unsigned ToOtherZones_ = 2;
  unsigned ToOtherRegions_ = 1;
};

/// The members that this process should hold a link to: its successor on the
/// ring of its zone, so that every member is watched and the zone is
/// connected, and members ranked by rendezvous in the zone, in other zones
/// (different ones where possible) and in other regions.
/// \param Candidates live members without this process.
std::vector<const model::Member *>
choosePeers(const model::Member &Self,
            const std::vector<const model::Member *> &Candidates,
            const LinkCounts &Counts);

/// True when this process ranks among the first \p Count for a task, over
/// the candidates and itself.
bool ranksAmongFirst(const model::Member &Self,
                     const std::vector<const model::Member *> &Candidates,
                     const std::string &Task, unsigned Count);

} // namespace cumingauge::control
