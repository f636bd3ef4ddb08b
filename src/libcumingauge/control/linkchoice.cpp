#include "control/linkchoice.h"
#include "control/rendezvous.h"
#include <algorithm>
#include <map>

namespace cumingauge::control {

namespace {

using model::Member;
using Members = std::vector<const Member *>;

/// Sorts candidates by decreasing rendezvous weight for this process.
void rank(Members &Candidates, const Member &Self) {
  const auto Weight = [&](const Member *Peer) {
    return rendezvousWeight(Self.Process_, Peer->Process_);
  };
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const Member *Left, const Member *Right) {
              return Weight(Left) > Weight(Right);
            });
}

/// Returns the member of the zone that follows this process on the ring.
const Member *ringSuccessor(const Member &Self, const Members &Zone) {
  const std::uint64_t Start = ringPosition(Self.Process_);
  const auto Distance = [&](const Member *Peer) {
    // Unsigned, so it wraps around the ring.
    return ringPosition(Peer->Process_) - Start;
  };
  return *std::min_element(Zone.begin(), Zone.end(),
                           [&](const Member *Left, const Member *Right) {
                             return Distance(Left) < Distance(Right);
                           });
}

void addOnce(const Member *Peer, Members &Chosen) {
  if (std::find(Chosen.begin(), Chosen.end(), Peer) == Chosen.end())
    Chosen.push_back(Peer);
}

void chooseInZone(const Member &Self, Members Zone, unsigned Count,
                  Members &Chosen) {
  if (Zone.empty() || Count == 0)
    return;
  addOnce(ringSuccessor(Self, Zone), Chosen);
  rank(Zone, Self);
  for (const Member *Peer : Zone)
    if (Chosen.size() < Count)
      addOnce(Peer, Chosen);
}

/// Chooses the best of each group in turn until there are enough. The groups
/// are ordered by their rendezvous weight for this process.
void chooseAcross(const Member &Self, std::map<std::string, Members> &&Groups,
                  unsigned Count, Members &Chosen) {
  std::vector<std::pair<std::uint64_t, Members>> Ordered;
  for (auto &[Name, Group] : Groups) {
    rank(Group, Self);
    Ordered.emplace_back(rendezvousWeight(Self.Process_, Name),
                         std::move(Group));
  }
  std::sort(Ordered.begin(), Ordered.end(),
            [](const auto &L, const auto &R) { return L.first > R.first; });
  unsigned Taken = 0;
  for (std::size_t Round = 0; Taken < Count; ++Round) {
    const unsigned Before = Taken;
    for (const auto &[Weight, Group] : Ordered) {
      if (Taken >= Count || Round >= Group.size())
        continue;
      addOnce(Group[Round], Chosen);
      ++Taken;
    }
    if (Taken == Before)
      return;
  }
}

} // namespace

std::vector<const Member *> choosePeers(const Member &Self,
                                        const Members &Candidates,
                                        const LinkCounts &Counts) {
  Members Zone;
  std::map<std::string, Members> OtherZones;
  std::map<std::string, Members> OtherRegions;
  for (const Member *Peer : Candidates) {
    if (Peer->Region_ != Self.Region_)
      OtherRegions[Peer->Region_].push_back(Peer);
    else if (Peer->Zone_ != Self.Zone_)
      OtherZones[Peer->Zone_].push_back(Peer);
    else
      Zone.push_back(Peer);
  }
  Members Chosen;
  chooseInZone(Self, std::move(Zone), Counts.InZone_, Chosen);
  chooseAcross(Self, std::move(OtherZones), Counts.ToOtherZones_, Chosen);
  chooseAcross(Self, std::move(OtherRegions), Counts.ToOtherRegions_, Chosen);
  return Chosen;
}

bool ranksAmongFirst(const Member &Self, const Members &Candidates,
                     const std::string &Task, unsigned Count) {
  const std::uint64_t Own = rendezvousWeight(Task, Self.Process_);
  const auto Better = std::count_if(
      Candidates.begin(), Candidates.end(), [&](const Member *Peer) {
        return rendezvousWeight(Task, Peer->Process_) > Own;
      });
  return Better < static_cast<std::ptrdiff_t>(Count);
}

} // namespace cumingauge::control
