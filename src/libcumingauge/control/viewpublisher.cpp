#include "control/viewpublisher.h"
#include "control/corestate.h"
#include <algorithm>
#include <utility>

namespace cumingauge::control {

namespace {

using model::ControlView;

constexpr std::size_t PeersToCompare = 3;
constexpr model::seconds MaxComparisonTime{3};
/// How long a dead process still counts as one that sends probes. Partitions
/// between regions last for minutes, so it may be alive behind one.
constexpr model::minutes DeadProberRetention{10};

/// Whether a state that is known only from peers may be published: several
/// peers have no newer one, or the time for comparing has passed.
bool isNewestAmongPeers(const CoreState &State) {
  std::size_t Compared = 0;
  for (const Link *Peer : peerLinks(State.Links_)) {
    if (Peer->ReceivedSequence_ == 0)
      continue;
    if (Peer->PeerVersion_ <= versionOf(State))
      ++Compared;
  }
  const std::size_t Enough = std::min(PeersToCompare, livePeers(State).size());
  return (Compared > 0 && Compared >= Enough) ||
         isDue(State.FirstStateAt_, MaxComparisonTime, State.Now_);
}

bool canPublish(const CoreState &State) {
  if (!State.HasState_)
    return false;
  return State.View_ || State.Confirmed_ ||
         (State.Follower_.IsUnreachable_ && isNewestAmongPeers(State));
}

void recordNewlyLeaving(CoreState &State, const std::set<std::string> &Now) {
  for (const std::string &Server : Now)
    if (!State.LeavingServers_.count(Server))
      record(State, model::EventKind::ServerLeaving, Server, versionOf(State));
}

/// Sets the ranks from the list of members in the directory.
void setListedRanks(const CoreState &State, ControlView &View) {
  const model::Member &Self = State.Settings_.Self_;
  for (const model::Member &Listed : State.Directory_.ListedMembers_) {
    const bool IsBefore = Listed.Process_ < Self.Process_;
    View.FleetRank_ += IsBefore ? 1 : 0;
    if (Listed.Zone_ != Self.Zone_)
      continue;
    ++View.ZoneSize_;
    View.ZoneRank_ += IsBefore ? 1 : 0;
  }
}

using ProcessList = std::vector<model::ProcessPlace>;

/// Returns all processes that are listed in the directory, or have been members
/// and did not leave. Those that were lost may be alive behind a partition.
ProcessList listProcesses(const CoreState &State) {
  ProcessList Out;
  if (State.Settings_.FollowsDirectory_) {
    for (const model::Member &Listed : State.Directory_.ListedMembers_)
      Out.push_back({Listed.Process_, Listed.Zone_});
    return Out;
  }
  for (const auto &[Name, Record] : State.Members_.Records_)
    if (Record.Member_.Status_ != model::MemberStatus::Left)
      Out.push_back({Name, Record.Member_.Zone_});
  return Out;
}

/// Sets the list of processes; an unchanged one is shared with the last view.
void setProcesses(const CoreState &State, ControlView &View) {
  View.Process_ = State.Members_.Self_;
  ProcessList Listed = listProcesses(State);
  const bool IsKnown = State.View_ && State.View_->Processes_ &&
                       *State.View_->Processes_ == Listed;
  View.Processes_ =
      IsKnown ? State.View_->Processes_
              : std::make_shared<const ProcessList>(std::move(Listed));
}

unsigned fleetRank(const CoreState &State) {
  const auto Live = liveMembers(State.Members_);
  return static_cast<unsigned>(
      std::count_if(Live.begin(), Live.end(), [&](const auto *Value) {
        return Value->Process_ < State.Members_.Self_;
      }));
}

/// Returns whether a process may be sending probes: it is live, or was lost
/// recently.
bool mayBeProbing(const CoreState &State, const MemberRecord &Record) {
  if (isLive(Record.Member_))
    return true;
  return Record.Member_.Status_ == model::MemberStatus::Dead &&
         State.Now_ - Record.Changed_ < DeadProberRetention;
}

void setProberRank(const CoreState &State, ControlView &View) {
  unsigned Known = 0;
  for (const auto &[Name, Record] : State.Members_.Records_) {
    if (!mayBeProbing(State, Record))
      continue;
    ++Known;
    View.ProberRank_ += Name < State.Members_.Self_ ? 1 : 0;
  }
  View.ProberCount_ = std::max(View.FleetSize_, Known);
}

bool hasSameProberRank(const ControlView &Left, const ControlView &Right) {
  return Left.ProberCount_ == Right.ProberCount_ &&
         Left.ProberRank_ == Right.ProberRank_;
}

/// Whether the own rank among the probing processes has changed. This happens
/// without an event when a dead process no longer counts.
bool isProberRankOutdated(const CoreState &State) {
  if (!State.View_)
    return false;
  ControlView Now;
  Now.FleetSize_ = State.View_->FleetSize_;
  setProberRank(State, Now);
  return !hasSameProberRank(Now, *State.View_);
}

bool isSameView(const ControlView &Left, const ControlView &Right) {
  return Left.Config_ == Right.Config_ &&
         Left.LeavingServers_ == Right.LeavingServers_ &&
         Left.FleetSize_ == Right.FleetSize_ &&
         Left.FleetRank_ == Right.FleetRank_ &&
         Left.ZoneSize_ == Right.ZoneSize_ &&
         Left.ZoneRank_ == Right.ZoneRank_ && hasSameProberRank(Left, Right) &&
         Left.Processes_ == Right.Processes_ &&
         Left.Confirmed_ == Right.Confirmed_;
}

} // namespace

void publishView(CoreState &State) {
  if (!State.ViewChanged_ && !isProberRankOutdated(State))
    return;
  if (!canPublish(State))
    return;
  State.ViewChanged_ = false;
  auto View = std::make_shared<ControlView>();
  View->Config_ = State.Log_.State_;
  View->LeavingServers_ = leavingServers(State.Leaving_, *State.Log_.State_);
  View->FleetSize_ = fleetSize(State);
  if (State.Settings_.FollowsDirectory_)
    setListedRanks(State, *View);
  else
    View->FleetRank_ = fleetRank(State);
  setProberRank(State, *View);
  setProcesses(State, *View);
  View->Confirmed_ = State.Confirmed_;
  if (State.View_ && isSameView(*State.View_, *View))
    return;
  recordNewlyLeaving(State, View->LeavingServers_);
  State.LeavingServers_ = View->LeavingServers_;
  State.View_ = View;
  emitCommand(State, PublishView{std::move(View)});
}

bool hasOtherMembers(const CoreState &State) {
  return std::any_of(State.Members_.Records_.begin(),
                     State.Members_.Records_.end(), [&](const auto &Entry) {
                       return Entry.first != State.Members_.Self_ &&
                              Entry.second.Member_.Status_ !=
                                  model::MemberStatus::Left;
                     });
}

} // namespace cumingauge::control
