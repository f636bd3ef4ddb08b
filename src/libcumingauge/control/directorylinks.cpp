#include "control/directorylinks.h"
#include "control/configurationfeed.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directoryfollower.h"
#include "control/linkmanager.h"
#include "control/readerchoice.h"
#include "control/serverfeed.h"
#include "control/serverlist.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::Member;
using MemberRefs = std::vector<const Member *>;

/// Fraction of the leaving bound after which an update is sent even without a
/// change and without a new confirmation, so that the link does not fall
/// silent.
constexpr double UpdateFraction = 0.4;
/// Fraction of the leaving bound after which updates count as missing. A reader
/// calls more often than that, and the rest of the bound suffices for a call by
/// this process itself.
constexpr double MissingFraction = 0.6;
/// MissingFraction of a reader; smaller, so that it has called the directory
/// before the processes that rely on it count its updates as missing.
constexpr double ReaderMissingFraction = 0.5;
/// Fraction of the leaving bound for which a confirmation counts as new. A
/// reader receives confirmations from two others; it passes one on when the
/// last one that it has sent is older than this.
constexpr double RelayFraction = 0.25;
/// Fraction of the leaving bound that a starting process waits for its readers
/// before it reads the directory itself.
constexpr double StartWaitFraction = 0.2;
/// Fraction of the same time after which a process that still lacks the whole
/// list subscribes to its second reader too.
constexpr double SecondReaderFraction = 0.1;
/// Fraction of the leaving bound between announcing this process and reading
/// the member list when the whole fleet starts.
constexpr double MembersReadFraction = 0.4;
/// Time after the start for which links that are not wanted are closed at once.
constexpr model::seconds StartLinksTime{2};
constexpr model::seconds SilentLinkTimeout{3};
constexpr model::milliseconds ChoicePeriod{1000};

PeerAddress addressOf(const Member &Value) {
  return {Value.Host_, Value.Port_};
}

/// Returns when calls of this process or of a peer last confirmed a topic.
model::TimePoint confirmedAt(const DirectoryFeed &Feed) {
  return std::max(Feed.ConfirmedAt_,
                  Feed.PeerConfirmedAt_.value_or(Feed.ConfirmedAt_));
}

/// Returns the time in ms since a topic was last confirmed.
std::uint32_t ageMs(const CoreState &State, const DirectoryFeed &Feed) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<model::milliseconds>(State.Now_ -
                                                      confirmedAt(Feed))
          .count());
}

bool isListRead(const CoreState &State) {
  return State.Directory_.Servers_.Read_ &&
         State.Directory_.Configuration_.Read_;
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
  if (!Readers.empty() || isListRead(State) || State.Settings_.IsFirstStart_)
    return Readers;
  return chooseStartPeers(Members, Self, IsReachable);
}

/// Returns whether every process that could have given this one its first state
/// has answered that it has none, as when the whole fleet starts at once.
bool haveNotRead(const CoreState &State, const MemberRefs &Readers) {
  return std::all_of(Readers.begin(), Readers.end(), [&](const Member *Reader) {
    const Link *Known = findLinkTo(State.Links_, Reader->Process_);
    return Known && Known->HasNotRead_;
  });
}

ServerListChange changeOf(const CoreState &State, const std::string &Name) {
  const DirectoryFollower &Follower = State.Directory_;
  ServerListChange Out{Name, std::nullopt, false, std::nullopt, std::nullopt};
  const auto Listed = Follower.Listed_.find(Name);
  if (Listed != Follower.Listed_.end()) {
    Out.Server_ = Listed->second.Server_;
    Out.Leaving_ = Listed->second.Leaving_;
    Out.WasLeaving_ = wasLeaving(State, Listed->second);
    Out.MissingMs_ = missingMs(State, Name);
  }
  return Out;
}

/// What an update has of the server list.
enum class UpdateContent { Changes, WholeList };

DirectoryUpdate makeUpdate(const CoreState &State, const Link &To,
                           UpdateContent Content) {
  const DirectoryFollower &Follower = State.Directory_;
  const DirectoryRevision Known = *To.KnownRevision_;
  DirectoryUpdate Out;
  Out.After_ = Known.Number_;
  Out.Era_ = Follower.KnownRevision_.Era_;
  Out.Revision_ = Follower.KnownRevision_.Number_;
  Out.AgeMs_ = ageMs(State, Follower.Servers_);
  Out.Version_ = versionOf(State);
  Out.VersionAgeMs_ = ageMs(State, Follower.Configuration_);
  Out.EvacuatedZones_ = Follower.Evacuations_.Requested_;
  Out.ZonesRevision_ = Follower.Evacuations_.Revision_.Number_;
  if (const model::Preset *Preset = model::presetInForce(*State.Log_.State_);
      Preset && Out.Version_ > To.KnownVersion_)
    Out.Preset_ = *Preset;
  if (Content == UpdateContent::WholeList) {
    Out.Complete_ = true;
    for (const auto &Entry : Follower.Listed_)
      Out.Servers_.push_back(changeOf(State, Entry.first));
    return Out;
  }
  for (const auto &[Name, Change] : Follower.Changes_)
    if (Change.Revision_ > Known || Change.Number_ > To.SentChange_)
      Out.Servers_.push_back(changeOf(State, Name));
  return Out;
}

/// Returns whether the changes that this process knows do not suffice for a
/// peer: what the directory lost with an older era has no revision, and
/// removals before the first list are unknown.
bool lacksHistory(const DirectoryFollower &Follower, DirectoryRevision Known) {
  return Known < Follower.FirstRevision_ ||
         Known.Era_ < Follower.KnownRevision_.Era_;
}

void sendUpdate(CoreState &State, Link &To) {
  const DirectoryFollower &Follower = State.Directory_;
  if (Follower.AwaitsWholeList_)
    return;
  const DirectoryRevision Known = *To.KnownRevision_;
  To.UpdatedAt_ = State.Now_;
  To.ConfirmedAt_ = directoryConfirmedAt(State);
  // Only the whole list shows all removals before it was read, only the changes
  // say which servers have registered again.
  const bool NeedsWholeList =
      lacksHistory(Follower, Known) || Known < Follower.ChangesSince_;
  if (!lacksHistory(Follower, Known)) {
    DirectoryUpdate Changes = makeUpdate(State, To, UpdateContent::Changes);
    if (NeedsWholeList)
      Changes.Complete_ = false;
    send(State, To, std::move(Changes));
    To.KnownVersion_ = versionOf(State);
  }
  if (NeedsWholeList)
    send(State, To, makeUpdate(State, To, UpdateContent::WholeList));
  To.KnownRevision_ = State.Directory_.KnownRevision_;
  To.KnownVersion_ = versionOf(State);
  To.SentChange_ = State.Directory_.LastChange_;
}

DirectorySubscription ownSubscription(const CoreState &State) {
  const DirectoryRevision Known = State.Directory_.KnownRevision_;
  if (State.Directory_.AwaitsWholeList_)
    return {0, versionOf(State), Known.Era_};
  return {Known.Number_, versionOf(State), Known.Era_};
}

std::vector<ports::ServerEntry> entriesOf(const CoreState &State,
                                          const DirectoryUpdate &Message) {
  std::vector<ports::ServerEntry> Out;
  for (const ServerListChange &Update : Message.Servers_) {
    ports::ServerEntry Entry{Update.Name_, std::nullopt, Message.Revision_};
    if (Update.Server_)
      Entry.Listed_ = ports::ListedServer{*Update.Server_, Update.Leaving_};
    Entry.Departed_ = Update.WasLeaving_.has_value();
    Entry.IsFromPeer_ = true;
    if (Update.MissingMs_)
      Entry.MissingSince_ =
          State.Now_ - model::milliseconds(*Update.MissingMs_);
    Out.push_back(std::move(Entry));
  }
  return Out;
}

void recordReportedDepartures(CoreState &State,
                              const DirectoryUpdate &Message) {
  for (const ServerListChange &Update : Message.Servers_)
    if (Update.Server_ && Update.WasLeaving_)
      recordEarlierDeparture(State,
                             {Update.Server_->Name_, Update.Server_->Vm_},
                             *Update.WasLeaving_);
}

/// Makes the next calls due at once. Other processes rely on this one from now
/// on, before the pause between its own calls ends.
void callNowAsReader(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  for (DirectoryFeed *Feed : {&Follower.Configuration_, &Follower.Servers_})
    if (Feed->Failures_ == 0)
      Feed->NextAt_ = std::min(Feed->NextAt_, State.Now_);
}

/// Records that a peer has confirmed a topic. The topic is to be read as a
/// whole when the peer's updates end: a watch from an old revision may miss
/// changes that the directory no longer stores.
void recordUpdate(CoreState &State, DirectoryFeed &Feed, std::uint32_t AgeMs) {
  const model::TimePoint ConfirmedAt = State.Now_ - model::milliseconds(AgeMs);
  Feed.Read_ = true;
  Feed.PeerConfirmedAt_ =
      std::max(Feed.PeerConfirmedAt_.value_or(ConfirmedAt), ConfirmedAt);
  if (Feed.Call_ == 0)
    Feed.Revision_ = 0;
}

/// Records that removals may be missing until the whole list has arrived. If it
/// never does, the next call reads it.
void awaitWholeList(DirectoryFollower &Follower) {
  Follower.AwaitsWholeList_ = true;
  Follower.ListRead_.reset();
  Follower.Servers_.Call_ = 0;
  Follower.Servers_.Revision_ = 0;
}

/// Passes an update on to the subscribed peers that need it: at once when it
/// brings a change, or when the confirmation that they have is getting old.
void relayUpdate(CoreState &State, bool IsChanged) {
  if (!isListRead(State))
    return;
  const model::Duration Pause = fractionOfLeavingBound(State, RelayFraction);
  const model::TimePoint Confirmed = directoryConfirmedAt(State);
  // Without a newer confirmation nothing is sent, so that old updates do not
  // circulate between processes that subscribe to each other.
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_ &&
        (IsChanged || Confirmed - To.ConfirmedAt_ >= Pause))
      sendUpdate(State, To);
}

void dropSilentLinks(CoreState &State) {
  std::vector<LinkId> Silent;
  for (const auto &[Id, Value] : State.Links_.Links_)
    if (Value.Outbound_ && !Value.Operator_ &&
        State.Now_ - Value.LastReceivedAt_ >= SilentLinkTimeout)
      Silent.push_back(Id);
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
  if (!isListRead(State) || !HasStartLinks)
    return;
  HasStartLinks =
      State.Now_ - State.StartedAt_.value_or(State.Now_) < StartLinksTime;
  const MemberRefs Wanted = wantedReaders(State);
  std::vector<LinkId> Unwanted;
  for (const auto &[Id, Value] : State.Links_.Links_)
    if (Value.Outbound_ && !Value.Operator_ &&
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
  if (!isListRead(State))
    State.Directory_.HasStartLinks_ = true;
  for (const Member *Reader : Wanted)
    if (!findLinkTo(State.Links_, Reader->Process_))
      openLink(State, addressOf(*Reader));
  closeUnwantedLinks(State, Wanted);
}

} // namespace

model::TimePoint serversConfirmedAt(const CoreState &State) {
  return confirmedAt(State.Directory_.Servers_);
}

model::TimePoint configurationConfirmedAt(const CoreState &State) {
  return confirmedAt(State.Directory_.Configuration_);
}

model::TimePoint directoryConfirmedAt(const CoreState &State) {
  return std::min(confirmedAt(State.Directory_.Configuration_),
                  confirmedAt(State.Directory_.Servers_));
}

bool isReader(const CoreState &State) {
  return std::any_of(State.Links_.Links_.begin(), State.Links_.Links_.end(),
                     [](const auto &Entry) {
                       return Entry.second.KnownRevision_.has_value();
                     });
}

bool hasReaders(const CoreState &State) {
  return std::any_of(State.Links_.Links_.begin(), State.Links_.Links_.end(),
                     [](const auto &Entry) {
                       return Entry.second.Outbound_ && !Entry.second.Operator_;
                     });
}

bool mustCallDirectory(const CoreState &State, const DirectoryFeed &Feed) {
  if (!Feed.PeerConfirmedAt_)
    return true;
  const double Missing =
      isReader(State) ? ReaderMissingFraction : MissingFraction;
  return State.Now_ - *Feed.PeerConfirmedAt_ >=
         fractionOfLeavingBound(State, Missing);
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
  if (!isListRead(State))
    return;
  const model::Duration Pause = fractionOfLeavingBound(State, UpdateFraction);
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_ && State.Now_ - To.UpdatedAt_ >= Pause)
      sendUpdate(State, To);
}

void subscribeToReaders(CoreState &State) {
  // The whole list is requested from one reader first: it is long.
  const model::Duration Pause =
      fractionOfLeavingBound(State, SecondReaderFraction);
  std::optional<model::TimePoint> LastSubscription;
  for (const auto &[Id, Value] : State.Links_.Links_)
    if (Value.SubscribedAt_ && !Value.HasNotRead_)
      LastSubscription =
          std::max(LastSubscription.value_or(*Value.SubscribedAt_),
                   *Value.SubscribedAt_);
  for (auto &[Id, Value] : State.Links_.Links_) {
    if (!Value.Outbound_ || Value.SubscribedAt_)
      continue;
    if (!isListRead(State) && LastSubscription &&
        State.Now_ - *LastSubscription < Pause)
      return;
    Value.SubscribedAt_ = LastSubscription = State.Now_;
    send(State, Value, ownSubscription(State));
  }
}

void handleDirectorySubscription(CoreState &State, Link &From,
                                 const DirectorySubscription &Message) {
  if (!isReader(State))
    callNowAsReader(State);
  From.KnownRevision_ =
      DirectoryRevision{Message.Era_.value_or(0), Message.Revision_};
  From.KnownVersion_ = Message.Version_;
  From.HasNotRead_ = Message.Revision_ == 0 && Message.Version_ == 0;
  From.SentChange_ = State.Directory_.LastChange_;
  if (isListRead(State))
    sendUpdate(State, From);
  else
    send(State, From, DirectoryNotRead{});
}

void handleDirectoryNotRead(CoreState &State, Link &From) {
  if (!From.SubscribedAt_)
    return;
  From.HasNotRead_ = true;
  followDirectory(State);
}

void handleDirectoryUpdate(CoreState &State, Link &From,
                           const DirectoryUpdate &Message) {
  From.HasNotRead_ = false;
  DirectoryFollower &Follower = State.Directory_;
  const bool IsComplete = Message.Complete_.value_or(false);
  const std::uint64_t Era = Message.Era_.value_or(0);
  const DirectoryRevision After{Era, Message.After_};
  const DirectoryRevision Revision{Era, Message.Revision_};
  const bool LacksChanges = !IsComplete && (After > Follower.KnownRevision_ ||
                                            !Follower.Servers_.Read_);
  const bool LacksPreset =
      Message.Version_ > versionOf(State) && !Message.Preset_;
  if (LacksChanges || LacksPreset)
    return send(State, From, ownSubscription(State));
  const DirectoryRevision FormerRevision = Follower.KnownRevision_;
  const std::uint64_t FormerVersion = versionOf(State);
  const bool AwaitedWholeList = Follower.AwaitsWholeList_;
  const bool IsOfPresentEra = observePeerEra(State, Revision);
  // A reader with an older version, revision or era than this process confirms
  // nothing.
  const DirectoryRevision ZonesRevision{Era, Message.ZonesRevision_};
  const bool HasNewestZones =
      IsOfPresentEra && ZonesRevision >= Follower.Evacuations_.Revision_;
  const bool ZonesChanged =
      HasNewestZones &&
      applyZoneRequests(State, Message.EvacuatedZones_, ZonesRevision);
  if (ZonesChanged)
    rebuildState(State, *State.Log_.State_);
  if (Message.Version_ >= versionOf(State)) {
    if (HasNewestZones)
      recordUpdate(State, Follower.Configuration_, Message.VersionAgeMs_);
    if (Message.Preset_)
      applyConfiguration(State, {Message.Version_, *Message.Preset_});
  }
  if (IsOfPresentEra && Revision >= Follower.KnownRevision_) {
    recordReportedDepartures(State, Message);
    if (IsComplete)
      applyCompleteList(State, entriesOf(State, Message), Revision);
    else
      applyServerChanges(State, entriesOf(State, Message), Revision);
    if (Message.Complete_ == false)
      awaitWholeList(Follower);
    if (!Follower.AwaitsWholeList_)
      recordUpdate(State, Follower.Servers_, Message.AgeMs_);
  }
  subscribeToReaders(State);
  const bool IsChanged = Follower.KnownRevision_ != FormerRevision ||
                         versionOf(State) != FormerVersion || ZonesChanged ||
                         (AwaitedWholeList && IsComplete);
  relayUpdate(State, IsChanged);
}

void sendDirectoryUpdates(CoreState &State) {
  if (!isListRead(State))
    return;
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_)
      sendUpdate(State, To);
}

} // namespace cumingauge::control
