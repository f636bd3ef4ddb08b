#include "control/linkmanager.h"
#include "control/corestate.h"
#include "control/credit.h"
#include "control/heartbeats.h"
#include "control/linkchoice.h"
#include "control/membership.h"
#include "control/updatereceiver.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::Member;
using model::MemberStatus;

constexpr model::milliseconds ChoicePeriod{1000};
constexpr model::seconds OpenTimeout{5};
constexpr model::seconds AvoidAfterFailure{3};
/// AvoidAfterFailure of a process that starts; its peers may be starting too.
constexpr model::milliseconds AvoidWhileStarting{300};
constexpr model::seconds SeedPeriod{10};
constexpr model::seconds SeedPeriodAlone{1};
constexpr model::seconds UnwantedLinkTimeout{30};
constexpr unsigned SeedsWhenAlone = 3;
/// Maximum number of links before a process refuses further ones; the peer then
/// chooses another process.
constexpr std::size_t MaxPeerLinks = 32;
/// Maximum number of links of a reader: twice its number of members, and as
/// many again while other readers are unreachable.
constexpr std::size_t MaxReaderLinks = 96;

PeerAddress addressOf(const Member &Value) {
  return {Value.Host_, Value.Port_};
}

std::vector<const Member *> wantedPeers(const CoreState &State) {
  std::vector<const Member *> Candidates;
  for (const Member *Peer : livePeers(State)) {
    const bool IsLinked = findLinkTo(State.Links_, Peer->Process_) != nullptr;
    if (Peer->Status_ == MemberStatus::Alive &&
        (IsLinked || !isAddressAvoided(State, addressOf(*Peer))))
      Candidates.push_back(Peer);
  }
  const CoreSettings &Settings = State.Settings_;
  return choosePeers(State.Settings_.Self_, Candidates,
                     {Settings.LinksInZone_, Settings.LinksToOtherZones_,
                      Settings.LinksToOtherRegions_});
}

/// Closes links to members that are considered dead, so that they are opened
/// anew when these return.
void closeDeadLinks(CoreState &State) {
  std::vector<LinkId> Dead;
  for (const auto &[Id, Value] : State.Links_.Links_) {
    if (Value.Operator_)
      continue;
    const MemberRecord *Record =
        findMember(State.Members_, Value.Peer_.Process_);
    const bool IsSilent =
        State.Now_ - Value.LastReceivedAt_ >= State.Settings_.DeadAfter_;
    if (Record && Record->Member_.Status_ == MemberStatus::Dead && IsSilent)
      Dead.push_back(Id);
  }
  for (const LinkId Id : Dead)
    closeLink(State, Id, model::ResultCode::PeerUnreachable);
}

bool isLinkedTo(const CoreState &State, const PeerAddress &Address) {
  return std::any_of(State.Links_.Links_.begin(), State.Links_.Links_.end(),
                     [&](const auto &Entry) {
                       return !Entry.second.Operator_ &&
                              addressOf(Entry.second.Peer_) == Address;
                     });
}

/// Returns the addresses of seeds and dead members at which an unknown part of
/// the fleet may be reached.
std::vector<PeerAddress> lostAddresses(const CoreState &State) {
  std::vector<PeerAddress> Out;
  const auto Add = [&](const Member &Value) {
    const PeerAddress Address = addressOf(Value);
    const bool IsLive =
        std::any_of(State.Members_.Records_.begin(),
                    State.Members_.Records_.end(), [&](const auto &Entry) {
                      return isLive(Entry.second.Member_) &&
                             addressOf(Entry.second.Member_) == Address;
                    });
    if (!IsLive && !isLinkedTo(State, Address))
      Out.push_back(Address);
  };
  for (const Member &Seed : State.Settings_.SeedPeers_)
    Add(Seed);
  for (const auto &[Name, Record] : State.Members_.Records_)
    if (Record.Member_.Status_ == MemberStatus::Dead)
      Add(Record.Member_);
  return Out;
}

void trySeeds(CoreState &State) {
  if (State.Now_ < State.Links_.NextSeed_)
    return;
  const bool IsAlone = peerLinks(State.Links_).empty();
  State.Links_.NextSeed_ =
      State.Now_ + jittered(State, IsAlone ? SeedPeriodAlone : SeedPeriod);
  std::vector<PeerAddress> Lost = lostAddresses(State);
  for (unsigned I = 0; I < (IsAlone ? SeedsWhenAlone : 1) && !Lost.empty();
       ++I) {
    const std::size_t Drawn =
        State.Random_(static_cast<std::uint32_t>(Lost.size()));
    openLink(State, Lost[Drawn]);
    Lost.erase(Lost.begin() + static_cast<std::ptrdiff_t>(Drawn));
  }
}

/// Returns whether another link leads to the same process and this one is to be
/// closed. Of two links between the same processes, the one opened by the
/// process with the larger name is closed, by that process.
bool isDuplicate(const CoreState &State, const Link &Opened) {
  if (!Opened.Outbound_ || State.Members_.Self_ < Opened.Peer_.Process_)
    return false;
  return std::any_of(
      State.Links_.Links_.begin(), State.Links_.Links_.end(),
      [&](const auto &Entry) {
        return Entry.first != Opened.Id_ && !Entry.second.Operator_ &&
               Entry.second.IsForCredit_ == Opened.IsForCredit_ &&
               Entry.second.Peer_.Process_ == Opened.Peer_.Process_;
      });
}

/// Returns whether this process follows a directory and has no list of it yet.
bool isStarting(const CoreState &State) {
  return State.Settings_.FollowsDirectory_ && !State.Directory_.Servers_.Read_;
}

} // namespace

bool isAddressAvoided(const CoreState &State, const PeerAddress &Address) {
  const auto Found = State.Links_.AvoidUntil_.find(Address);
  return Found != State.Links_.AvoidUntil_.end() && Found->second > State.Now_;
}

void openLink(CoreState &State, const PeerAddress &Address) {
  if (State.Links_.Opening_.count(Address) || isAddressAvoided(State, Address))
    return;
  State.Links_.Opening_[Address] = State.Now_;
  emitCommand(State, OpenLink{Address.Host_, Address.Port_});
}

void closeLink(CoreState &State, LinkId Id, model::ResultCode Reason) {
  emitCommand(State, CloseLink{Id, Reason});
  State.Links_.Links_.erase(Id);
}

void closeUnwantedLinks(CoreState &State,
                        const std::vector<const Member *> &Wanted) {
  std::vector<LinkId> Unwanted;
  for (auto &[Id, Value] : State.Links_.Links_) {
    const std::string &Process = Value.Peer_.Process_;
    const bool IsWanted =
        std::any_of(Wanted.begin(), Wanted.end(), [&](const Member *Peer) {
          return Peer->Process_ == Process;
        });
    if (IsWanted || !Value.Outbound_ || Value.Operator_ || Value.IsForCredit_) {
      Value.UnwantedSince_.reset();
      continue;
    }
    if (!Value.UnwantedSince_)
      Value.UnwantedSince_ = State.Now_;
    if (State.Now_ - *Value.UnwantedSince_ >= UnwantedLinkTimeout)
      Unwanted.push_back(Id);
  }
  for (const LinkId Id : Unwanted)
    closeLink(State, Id, model::ResultCode::Ok);
}

void dropExpiredAttempts(CoreState &State) {
  auto &Opening = State.Links_.Opening_;
  for (auto It = Opening.begin(); It != Opening.end();)
    It = State.Now_ - It->second >= OpenTimeout ? Opening.erase(It)
                                                : std::next(It);
  auto &Avoid = State.Links_.AvoidUntil_;
  for (auto It = Avoid.begin(); It != Avoid.end();)
    It = It->second <= State.Now_ ? Avoid.erase(It) : std::next(It);
}

void handleLinkOpened(CoreState &State, const LinkOpened &Input) {
  Link &Opened = State.Links_.Links_[Input.Link_];
  Opened = Link();
  Opened.Id_ = Input.Link_;
  Opened.Peer_ = Input.Peer_;
  Opened.Operator_ = Input.Operator_;
  Opened.OpenedAt_ = Opened.LastReceivedAt_ = State.Now_;
  if (Input.Operator_)
    return;
  Opened.Outbound_ = Input.Outbound_;
  Opened.IsForCredit_ =
      Input.Outbound_ && isAskedForCredit(State, addressOf(Input.Peer_));
  if (Input.Outbound_)
    State.Links_.Opening_.erase(addressOf(Input.Peer_));
  const bool IsSelf = Input.Peer_.Process_ == State.Members_.Self_;
  const std::size_t MaxLinks = State.Settings_.FollowsDirectory_
                                   ? MaxReaderLinks + countExpectedAskers(State)
                                   : MaxPeerLinks;
  const bool IsTooMany =
      !Opened.Outbound_ && State.Links_.Links_.size() > MaxLinks;
  if (IsTooMany && !State.Settings_.FollowsDirectory_) {
    // The peer needs to know other members to open links to.
    applyMember(State, Input.Peer_);
    sendMemberTable(State, Opened);
  }
  if (IsSelf || IsTooMany || isDuplicate(State, Opened)) {
    closeLink(State, Input.Link_, model::ResultCode::Ok);
    if (IsSelf)
      State.Links_.AvoidUntil_[addressOf(Input.Peer_)] =
          State.Now_ + model::seconds(3600);
    return;
  }
  if (State.Settings_.FollowsDirectory_)
    return subscribeToReaders(State);
  applyMember(State, Input.Peer_);
  sendHeartbeat(State, Opened, /*AnswerNow=*/true);
}

void handleLinkClosed(CoreState &State, const LinkClosed &Input) {
  const Link *Closed = findLink(State.Links_, Input.Link_);
  if (!Closed)
    return;
  const Member Peer = Closed->Peer_;
  const bool WasShortLived = State.Now_ - Closed->OpenedAt_ < AvoidAfterFailure;
  const bool WasOperator = Closed->Operator_;
  State.Links_.Links_.erase(Input.Link_);
  if (WasOperator)
    return;
  if (WasShortLived)
    State.Links_.AvoidUntil_[addressOf(Peer)] = State.Now_ + AvoidAfterFailure;
  State.Links_.NextChoice_ = State.Now_;
}

void handleLinkFailed(CoreState &State, const LinkFailed &Input) {
  const PeerAddress Address{Input.Host_, Input.Port_};
  State.Links_.Opening_.erase(Address);
  State.Links_.AvoidUntil_[Address] =
      State.Now_ + jittered(State, isStarting(State) ? AvoidWhileStarting
                                                     : AvoidAfterFailure);
  State.Links_.NextChoice_ = State.Now_;
  std::vector<std::string> Failed;
  for (const Member *Peer : livePeers(State))
    if (addressOf(*Peer) == Address &&
        !findLinkTo(State.Links_, Peer->Process_))
      Failed.push_back(Peer->Process_);
  for (const std::string &Process : Failed)
    suspect(State, Process);
}

void maintainLinks(CoreState &State) {
  dropExpiredAttempts(State);
  trySeeds(State);
  if (State.Now_ < State.Links_.NextChoice_)
    return;
  State.Links_.NextChoice_ = State.Now_ + ChoicePeriod;
  const std::vector<const Member *> Wanted = wantedPeers(State);
  for (const Member *Peer : Wanted)
    if (!findLinkTo(State.Links_, Peer->Process_))
      openLink(State, addressOf(*Peer));
  closeUnwantedLinks(State, Wanted);
  closeDeadLinks(State);
}

} // namespace cumingauge::control
