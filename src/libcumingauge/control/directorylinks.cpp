#include "control/directorylinks.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directoryevidence.h"
#include "control/directoryfollower.h"
#include "control/linkmanager.h"
#include "control/readerchoice.h"
#include "control/updatereceiver.h"
#include "control/updatesender.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::Member;
using MemberRefs = std::vector<const Member *>;

/// Fraction of the leaving bound that a starting process waits for its readers
/// before it reads the directory itself.
constexpr double StartWaitFraction = 0.2;
/// Fraction of the leaving bound between announcing this process and reading
/// the member list when the whole fleet starts.
constexpr double MembersReadFraction = 0.4;
/// Time after the start for which links that are not wanted are closed at once.
constexpr model::seconds StartLinksTime{2};
constexpr model::seconds SilentLinkTimeout{3};
/// The same until the first update, which may be a long list on a slow link.
constexpr model::seconds FirstUpdateTimeout{6};
constexpr model::milliseconds ChoicePeriod{1000};

PeerAddress addressOf(const Member &Value) {
  return {Value.Host_, Value.Port_};
}

ReachablePredicate reachableFrom(const CoreState &State) {
  return [&State](const Member &Value) {
    return findLinkTo(State.Links_, Value.Process_) ||
           !isAddressAvoided(State, addressOf(Value));
  };
}

/// Returns the readers to keep links to.
MemberRefs wantedReaders(const CoreState &State) {
  const ReachablePredicate IsReachable = reachableFrom(State);
  const std::vector<Member> &Members = State.Directory_.ListedMembers_;
  const Member &Self = State.Settings_.Self_;
  MemberRefs Readers = chooseReaders(Members, Self, IsReachable);
  if (!Readers.empty() || isDirectoryRead(State) ||
      State.Settings_.IsFirstStart_)
    return Readers;
  return chooseStartPeers(Members, Self, IsReachable);
}

/// Returns whether every process that could have given this one its first state
/// has answered that it has none, as when the whole fleet starts at once.
bool haveNotRead(const CoreState &State, const MemberRefs &Readers) {
  return std::all_of(Readers.begin(), Readers.end(), [&](const Member *Reader) {
    const Link *Known = findReaderLinkTo(State.Links_, Reader->Process_);
    return Known && Known->HasNotRead_;
  });
}

void dropSilentLinks(CoreState &State) {
  std::vector<LinkId> Silent;
  for (const auto &[Id, Value] : State.Links_.Links_) {
    const model::Duration Timeout =
        Value.ReceivedUpdate_ == 0 ? FirstUpdateTimeout : SilentLinkTimeout;
    if (Value.Outbound_ && !Value.Operator_ && !Value.IsForCredit_ &&
        State.Now_ - Value.LastReceivedAt_ >= Timeout)
      Silent.push_back(Id);
  }
  for (const LinkId Id : Silent) {
    State.Links_.AvoidUntil_[addressOf(State.Links_.Links_[Id].Peer_)] =
        State.Now_ + SilentLinkTimeout;
    closeLink(State, Id, model::ResultCode::PeerUnreachable);
  }
}

/// Closes the links to peers that have given this process its first state and
/// are no readers of it. Where peers started at the same time, the readers may
/// only be reached a little later.
void closeStartLinks(CoreState &State) {
  bool &HasStartLinks = State.Directory_.HasStartLinks_;
  if (!isDirectoryRead(State) || !HasStartLinks)
    return;
  HasStartLinks =
      State.Now_ - State.StartedAt_.value_or(State.Now_) < StartLinksTime;
  const MemberRefs Wanted = wantedReaders(State);
  std::vector<LinkId> Unwanted;
  for (const auto &[Id, Value] : State.Links_.Links_)
    if (Value.Outbound_ && !Value.Operator_ && !Value.IsForCredit_ &&
        !contains(Wanted, Value.Peer_.Process_))
      Unwanted.push_back(Id);
  for (const LinkId Id : Unwanted)
    closeLink(State, Id, model::ResultCode::Ok);
}

void openReaderLinks(CoreState &State) {
  closeStartLinks(State);
  if (State.Now_ < State.Links_.NextChoice_)
    return;
  State.Links_.NextChoice_ = State.Now_ + ChoicePeriod;
  dropExpiredAttempts(State);
  const MemberRefs Wanted = wantedReaders(State);
  if (!isDirectoryRead(State))
    State.Directory_.HasStartLinks_ = true;
  for (auto &[Id, Value] : State.Links_.Links_)
    if (Value.IsForCredit_ && Value.Outbound_ &&
        contains(Wanted, Value.Peer_.Process_))
      Value.IsForCredit_ = false;
  for (const Member *Reader : Wanted)
    if (!findReaderLinkTo(State.Links_, Reader->Process_))
      openLink(State, addressOf(*Reader));
  closeUnwantedLinks(State, Wanted);
}

} // namespace

bool isReader(const CoreState &State) {
  return std::any_of(
      State.Links_.Links_.begin(), State.Links_.Links_.end(),
      [](const auto &Entry) { return Entry.second.Subscriber_.has_value(); });
}

bool hasReaders(const CoreState &State) {
  return std::any_of(State.Links_.Links_.begin(), State.Links_.Links_.end(),
                     [](const auto &Entry) {
                       return Entry.second.Outbound_ &&
                              !Entry.second.Operator_ &&
                              !Entry.second.IsForCredit_;
                     });
}

model::Duration membersReadDelay(const CoreState &State) {
  return State.Settings_.IsFirstStart_
             ? fractionOfLeavingBound(State, MembersReadFraction)
             : model::Duration::zero();
}

bool waitsForReaders(const CoreState &State) {
  const DirectoryFeed &Members = State.Directory_.Members_;
  if (!Members.Read_)
    return State.Now_ - State.StartedAt_.value_or(State.Now_) <
           membersReadDelay(State) +
               fractionOfLeavingBound(State, StartWaitFraction);
  if (State.Now_ - Members.ConfirmedAt_ >=
      fractionOfLeavingBound(State, StartWaitFraction))
    return false;
  const MemberRefs Wanted = wantedReaders(State);
  if (Wanted.empty())
    return false;
  // All others go on waiting for the fleet readers.
  return !haveNotRead(State, Wanted) ||
         !isFleetReader(State.Directory_.ListedMembers_, State.Settings_.Self_,
                        reachableFrom(State));
}

void maintainDirectoryLinks(CoreState &State) {
  dropSilentLinks(State);
  openReaderLinks(State);
  subscribeToReaders(State);
  sendOverdueUpdates(State);
}

} // namespace cumingauge::control
