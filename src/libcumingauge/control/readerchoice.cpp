#include "control/readerchoice.h"
#include "control/rendezvous.h"
#include <algorithm>
#include <map>

namespace cumingauge::control {

namespace {

using model::Member;
using MemberRefs = std::vector<const Member *>;

/// Minimum size of a zone with readers. In a smaller zone, links cost more than
/// the calls that they save.
constexpr std::size_t MinZoneSize = 8;
constexpr std::size_t MinReaders = 2;
/// Members per reader. Each member has two links, so a reader has links to
/// twice as many; a change of the whole list of 300 servers is some 50 KB to
/// each: 0.7 s on a link of 10 Mbit/s for 17 of them.
constexpr std::size_t MembersPerReader = 8;
/// Members per reader in a zone in which the network link of the fastest member
/// is more than FastLinkRatio times as fast as that of the slowest.
constexpr std::size_t MembersPerFastReader = 24;
constexpr double FastLinkRatio = 4;
/// Readers that one process subscribes to, so that one may fail.
constexpr std::size_t ReadersPerMember = 2;
/// Members that a starting process without readers asks.
constexpr std::size_t StartPeers = 2;

/// Orders members by link speed, and members of equal speed by a hash that is
/// the same in every process.
bool ranksBefore(const Member *Left, const Member *Right) {
  if (Left->LinkMbps_ != Right->LinkMbps_)
    return Left->LinkMbps_ > Right->LinkMbps_;
  return rendezvousWeight("directory", Left->Process_) >
         rendezvousWeight("directory", Right->Process_);
}

/// Returns the members of each zone that is large enough for readers, by rank.
std::map<std::string, MemberRefs>
zonesByRank(const std::vector<Member> &Members) {
  std::map<std::string, MemberRefs> Out;
  for (const Member &Value : Members)
    Out[Value.Zone_].push_back(&Value);
  for (auto It = Out.begin(); It != Out.end();) {
    std::sort(It->second.begin(), It->second.end(), ranksBefore);
    It = It->second.size() < MinZoneSize ? Out.erase(It) : std::next(It);
  }
  return Out;
}

std::size_t readerCount(const MemberRefs &Zone) {
  const bool HasFast =
      Zone.front()->LinkMbps_ > FastLinkRatio * Zone.back()->LinkMbps_;
  return std::max(MinReaders, Zone.size() / (HasFast ? MembersPerFastReader
                                                     : MembersPerReader));
}

/// Returns the first members of a zone, up to its number of readers.
MemberRefs readersOf(const MemberRefs &Zone) {
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(readerCount(Zone), Zone.size()));
  return {Zone.begin(), Zone.begin() + Count};
}

/// Returns the first of the members that is not in the given zone, or else the
/// first one; null when there is none.
const Member *firstOutside(const MemberRefs &Members, const std::string &Zone) {
  const auto Found =
      std::find_if(Members.begin(), Members.end(),
                   [&](const Member *Value) { return Value->Zone_ != Zone; });
  if (Found != Members.end())
    return *Found;
  return Members.empty() ? nullptr : Members.front();
}

/// Returns the two zone readers that call the directory for the fleet: the
/// first in rank, and the first of another zone. \p Self counts as reachable.
MemberRefs fleetReaders(const std::map<std::string, MemberRefs> &Zones,
                        const Member &Self,
                        const ReachablePredicate &IsReachable) {
  MemberRefs Candidates;
  for (const auto &Entry : Zones)
    for (const Member *Value : readersOf(Entry.second))
      if (Value->Process_ == Self.Process_ || IsReachable(*Value))
        Candidates.push_back(Value);
  std::sort(Candidates.begin(), Candidates.end(), ranksBefore);
  if (Candidates.empty())
    return {};
  const Member *First = Candidates.front();
  Candidates.erase(Candidates.begin());
  const Member *Second = firstOutside(Candidates, First->Zone_);
  return Second ? MemberRefs{First, Second} : MemberRefs{First};
}

/// Returns the readers of its zone that a process subscribes to. Which ones
/// depends on the process, so that the subscriptions spread evenly.
MemberRefs zoneReadersFor(const Member &Self, const MemberRefs &Zone,
                          const ReachablePredicate &IsReachable) {
  MemberRefs Out;
  for (const Member *Value : Zone)
    if (Out.size() < readerCount(Zone) && Value->Process_ != Self.Process_ &&
        IsReachable(*Value))
      Out.push_back(Value);
  std::sort(Out.begin(), Out.end(), [&](const Member *L, const Member *R) {
    return rendezvousWeight(Self.Process_, L->Process_) >
           rendezvousWeight(Self.Process_, R->Process_);
  });
  Out.resize(std::min(Out.size(), ReadersPerMember));
  return Out;
}

} // namespace

bool contains(const MemberRefs &Members, const std::string &Process) {
  return std::any_of(Members.begin(), Members.end(), [&](const Member *Value) {
    return Value->Process_ == Process;
  });
}

std::vector<const Member *>
chooseReaders(const std::vector<Member> &Members, const Member &Self,
              const ReachablePredicate &IsReachable) {
  const auto Zones = zonesByRank(Members);
  const auto Own = Zones.find(Self.Zone_);
  if (Own == Zones.end())
    return {};
  if (!contains(readersOf(Own->second), Self.Process_))
    return zoneReadersFor(Self, Own->second, IsReachable);
  const MemberRefs Fleet = fleetReaders(Zones, Self, IsReachable);
  if (contains(Fleet, Self.Process_))
    return {};
  return Fleet;
}

std::vector<const Member *>
chooseStartPeers(const std::vector<Member> &Members, const Member &Self,
                 const ReachablePredicate &IsReachable) {
  MemberRefs Out;
  for (const Member &Value : Members)
    if (Value.Process_ != Self.Process_ && IsReachable(Value))
      Out.push_back(&Value);
  std::sort(Out.begin(), Out.end(), ranksBefore);
  Out.resize(std::min(Out.size(), StartPeers));
  return Out;
}

} // namespace cumingauge::control
