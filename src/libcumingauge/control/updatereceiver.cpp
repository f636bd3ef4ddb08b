#include "control/updatereceiver.h"
#include "control/configurationfeed.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directoryevidence.h"
#include "control/directoryfollower.h"
#include "control/serverfeed.h"
#include "control/updatesender.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

/// Fraction of the leaving bound after which a starting process that still lacks
/// the whole list subscribes to its second reader too.
constexpr double SecondReaderFraction = 0.1;

DirectorySubscription ownSubscription(const CoreState &State) {
  const DirectoryRevision Known = State.Directory_.KnownRevision_;
  if (State.Directory_.AwaitsWholeList_)
    return {0, versionOf(State), Known.Era_};
  return {Known.Number_, versionOf(State), Known.Era_};
}

std::vector<ports::ServerEntry> entriesOf(const DirectoryUpdate &Message) {
  std::vector<ports::ServerEntry> Out;
  for (const ServerListChange &Update : Message.Servers_) {
    ports::ServerEntry Entry{Update.Name_, std::nullopt, Message.Revision_};
    if (Update.Server_)
      Entry.Listed_ = ports::ListedServer{*Update.Server_, Update.Leaving_};
    Entry.Departed_ = Update.WasLeaving_.has_value();
    Entry.IsFromPeer_ = true;
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

} // namespace

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
    if (!Value.Outbound_ || Value.SubscribedAt_ || Value.IsForCredit_)
      continue;
    if (!isDirectoryRead(State) && LastSubscription &&
        State.Now_ - *LastSubscription < Pause)
      return;
    Value.SubscribedAt_ = LastSubscription = State.Now_;
    send(State, Value, ownSubscription(State));
  }
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
      applyCompleteList(State, entriesOf(Message), Revision);
    else
      applyServerChanges(State, entriesOf(Message), Revision);
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

} // namespace cumingauge::control
