#include "control/readerchoice.h"
#include "control/rendezvous.h"
#include <algorithm>
#include <map>

namespace cumingauge::control {

namespace {

using model::Member;
using MemberRefs = std::vector<const Member *>;

/// Minimum size of a group with readers. In a smaller one, links cost more than
/// the calls that they save.
constexpr std::size_t MinGroupSize = 8;
/// Group of the members of all zones that are too small to be groups of their
/// own. No zone has this name.
const std::string SmallZones;
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

/// Members by the group in which they have readers: their availability zone, or
/// SmallZones. Each group is in rank order.
using Groups = std::map<std::string, MemberRefs>;

/// Ranks the members of a group. The first ones of each zone come first, so
/// that the readers of a group of small zones are in different ones.
void sortByRank(MemberRefs &Group) {
  std::sort(Group.begin(), Group.end(), ranksBefore);
  std::map<std::string, std::size_t> ZoneSizes;
  std::map<const Member *, std::size_t> PlaceInZone;
  for (const Member *Value : Group)
    PlaceInZone[Value] = ZoneSizes[Value->Zone_]++;
  std::stable_sort(Group.begin(), Group.end(),
                   [&](const Member *Left, const Member *Right) {
                     return PlaceInZone[Left] < PlaceInZone[Right];
                   });
}

/// Returns the groups that are large enough for readers.
Groups groupsByRank(const std::vector<Member> &Members) {
  Groups Out;
  for (const Member &Value : Members)
    Out[Value.Zone_].push_back(&Value);
  MemberRefs Rest;
  for (auto It = Out.begin(); It != Out.end();) {
    if (It->second.size() >= MinGroupSize) {
      ++It;
      continue;
    }
    Rest.insert(Rest.end(), It->second.begin(), It->second.end());
    It = Out.erase(It);
  }
  if (Rest.size() >= MinGroupSize)
    Out[SmallZones] = std::move(Rest);
  for (auto &Entry : Out)
    sortByRank(Entry.second);
  return Out;
}

/// Returns the group of a member; null when it has none with readers.
const MemberRefs *groupOf(const Groups &All, const Member &Value) {
  const auto OwnZone = All.find(Value.Zone_);
  const auto Found = OwnZone == All.end() ? All.find(SmallZones) : OwnZone;
  return Found == All.end() ? nullptr : &Found->second;
}

std::size_t readerCount(const MemberRefs &Group) {
  const auto [Slowest, Fastest] = std::minmax_element(
      Group.begin(), Group.end(), [](const Member *Left, const Member *Right) {
        return Left->LinkMbps_ < Right->LinkMbps_;
      });
  const bool HasFast =
      (*Fastest)->LinkMbps_ > FastLinkRatio * (*Slowest)->LinkMbps_;
  return std::max(MinReaders, Group.size() / (HasFast ? MembersPerFastReader
                                                      : MembersPerReader));
}

/// Returns the first members of a group, up to its number of readers.
MemberRefs readersOf(const MemberRefs &Group) {
  const auto Count =
      static_cast<std::ptrdiff_t>(std::min(readerCount(Group), Group.size()));
  return {Group.begin(), Group.begin() + Count};
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

/// Returns the two readers of groups that call the directory for the fleet: the
/// first in rank, and the first of another zone. \p Self counts as reachable.
MemberRefs fleetReaders(const Groups &All, const Member &Self,
                        const ReachablePredicate &IsReachable) {
  MemberRefs Candidates;
  for (const auto &Entry : All)
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

/// Returns the readers of its group that a process subscribes to. Which ones
/// depends on the process, so that the subscriptions spread evenly.
MemberRefs groupReadersFor(const Member &Self, const MemberRefs &Group,
                           const ReachablePredicate &IsReachable) {
  MemberRefs Out;
  for (const Member *Value : Group)
    if (Out.size() < readerCount(Group) && Value->Process_ != Self.Process_ &&
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
  const Groups All = groupsByRank(Members);
  const MemberRefs *Own = groupOf(All, Self);
  if (!Own)
    return {};
  if (!contains(readersOf(*Own), Self.Process_))
    return groupReadersFor(Self, *Own, IsReachable);
  const MemberRefs Fleet = fleetReaders(All, Self, IsReachable);
  if (contains(Fleet, Self.Process_))
    return {};
  return Fleet;
}

bool isFleetReader(const std::vector<Member> &Members, const Member &Self,
                   const ReachablePredicate &IsReachable) {
  Groups All = groupsByRank(Members);
  if (All.empty() && !Members.empty()) {
    MemberRefs &Whole = All[SmallZones];
    for (const Member &Value : Members)
      Whole.push_back(&Value);
    sortByRank(Whole);
  }
  return contains(fleetReaders(All, Self, IsReachable), Self.Process_);
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
