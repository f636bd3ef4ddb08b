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

/// Fraction of the leaving bound after which a starting process that still
/// lacks the whole list subscribes to its second reader too.
constexpr double SecondReaderFraction = 0.1;

/// Fraction of the leaving bound after which a subscription is sent again. The
/// time that it takes to the peer makes all data look older until then.
constexpr double RenewalFraction = 1.0;

std::uint64_t countOf(model::TimePoint Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

/// Sends a subscription with what this process has.
void subscribe(CoreState &State, Link &To) {
  const DirectoryFollower &Follower = State.Directory_;
  DirectorySubscription Out;
  // On an open link the whole list is on its way when it is awaited.
  if (!Follower.AwaitsWholeList_ || To.AskedAt_)
    Out.Revision_ = Follower.KnownRevision_.Number_;
  Out.Version_ = versionOf(State);
  Out.Era_ = Follower.KnownRevision_.Era_;
  Out.Asked_ = countOf(State.Now_);
  Out.Received_ = To.ReceivedUpdate_;
  To.AskedAt_ = State.Now_;
  send(State, To, Out);
}

void renewSubscription(CoreState &State, Link &To) {
  if (!To.AskedAt_ || State.Now_ - *To.AskedAt_ >=
                          fractionOfLeavingBound(State, RenewalFraction))
    subscribe(State, To);
}

/// Returns a time that an update tells by the clock of this process, or nothing
/// when the update answers no subscription of it.
std::optional<model::TimePoint> ownTime(const CoreState &State,
                                        const Link &From,
                                        const DirectoryUpdate &Message,
                                        std::int32_t OffsetMs) {
  if (!Message.Asked_ || !From.AskedAt_ ||
      *Message.Asked_ > countOf(*From.AskedAt_))
    return std::nullopt;
  const model::TimePoint Asked{
      model::TimePoint::duration(static_cast<std::int64_t>(*Message.Asked_))};
  return std::min(State.Now_, Asked + model::milliseconds(OffsetMs));
}

std::vector<ports::ServerEntry> entriesOf(const CoreState &State,
                                          const Link &From,
                                          const DirectoryUpdate &Message) {
  std::vector<ports::ServerEntry> Out;
  for (const ServerListChange &Update : Message.Servers_) {
    ports::ServerEntry Entry{Update.Name_, std::nullopt, Message.Revision_};
    if (Update.Server_)
      Entry.Listed_ = ports::ListedServer{*Update.Server_, Update.Leaving_};
    Entry.Departed_ = Update.WasLeaving_.has_value();
    Entry.IsFromPeer_ = true;
    if (Update.MissingMs_)
      Entry.MissingSince_ = ownTime(State, From, Message, *Update.MissingMs_)
                                .value_or(State.Now_);
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

/// Records that a peer has told a topic and when it was confirmed. The topic is
/// to be read as a whole when the peer's updates end: a watch from an old
/// revision may miss changes that the directory no longer stores.
void recordUpdate(const Link &From, DirectoryFeed &Feed,
                  std::optional<model::TimePoint> ConfirmedAt) {
  Feed.Read_ = true;
  if (Feed.Call_ == 0)
    Feed.Revision_ = 0;
  if (!ConfirmedAt ||
      (Feed.PeerConfirmedAt_ && *Feed.PeerConfirmedAt_ >= *ConfirmedAt))
    return;
  Feed.PeerConfirmedAt_ = ConfirmedAt;
  Feed.PeerProcess_ = From.Peer_.Process_;
}

/// Records that removals may be missing until the whole list has arrived. If it
/// never does, the next call reads it.
void awaitWholeList(DirectoryFollower &Follower) {
  Follower.AwaitsWholeList_ = true;
  Follower.ListRead_.reset();
  Follower.Servers_.Call_ = 0;
  Follower.Servers_.Revision_ = 0;
}

/// What became of the evacuated zones in an update.
enum class ZonesTaken { Outdated, Unchanged, Changed };

ZonesTaken takeZones(CoreState &State, const DirectoryUpdate &Message,
                     bool IsOfPresentEra) {
  const DirectoryRevision Revision{Message.Era_.value_or(0),
                                   Message.ZonesRevision_};
  if (!IsOfPresentEra || Revision < State.Directory_.Evacuations_.Revision_)
    return ZonesTaken::Outdated;
  if (!applyZoneRequests(State, Message.EvacuatedZones_, Revision))
    return ZonesTaken::Unchanged;
  rebuildState(State, *State.Log_.State_);
  return ZonesTaken::Changed;
}

/// Applies the configuration of an update. An older version than the one in
/// use, or one without its preset, confirms nothing, and neither do outdated
/// zones.
void takeConfiguration(CoreState &State, const Link &From,
                       const DirectoryUpdate &Message, ZonesTaken Zones) {
  const std::uint64_t Own = versionOf(State);
  if (Message.Version_ < Own || (Message.Version_ > Own && !Message.Preset_))
    return;
  if (Zones != ZonesTaken::Outdated)
    recordUpdate(From, State.Directory_.Configuration_,
                 ownTime(State, From, Message, Message.VersionConfirmedMs_));
  if (Message.Preset_)
    applyConfiguration(State, {Message.Version_, *Message.Preset_},
                       From.Peer_.Process_);
}

/// Applies the servers of an update, unless newer ones are known.
void takeServers(CoreState &State, const Link &From,
                 const DirectoryUpdate &Message) {
  DirectoryFollower &Follower = State.Directory_;
  const DirectoryRevision Revision{Message.Era_.value_or(0), Message.Revision_};
  if (Revision < Follower.KnownRevision_)
    return;
  recordReportedDepartures(State, Message);
  if (Message.Complete_.value_or(false))
    applyCompleteList(State, entriesOf(State, From, Message), Revision);
  else
    applyServerChanges(State, entriesOf(State, From, Message), Revision);
  if (Message.Complete_ == false)
    awaitWholeList(Follower);
  if (!Follower.AwaitsWholeList_)
    recordUpdate(From, Follower.Servers_,
                 ownTime(State, From, Message, Message.ConfirmedMs_));
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
    subscribe(State, Value);
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
  From.ReceivedUpdate_ = Message.Number_;
  DirectoryFollower &Follower = State.Directory_;
  const bool IsComplete = Message.Complete_.value_or(false);
  const std::uint64_t Era = Message.Era_.value_or(0);
  const DirectoryRevision After{Era, Message.After_};
  const bool LacksChanges = !IsComplete && (After > Follower.KnownRevision_ ||
                                            !Follower.Servers_.Read_);
  if (LacksChanges)
    return subscribe(State, From);
  const DirectoryRevision FormerRevision = Follower.KnownRevision_;
  const std::uint64_t FormerVersion = versionOf(State);
  const bool AwaitedWholeList = Follower.AwaitsWholeList_;
  const bool IsOfPresentEra = observePeerEra(State, {Era, Message.Revision_});
  const ZonesTaken Zones = takeZones(State, Message, IsOfPresentEra);
  takeConfiguration(State, From, Message, Zones);
  if (IsOfPresentEra)
    takeServers(State, From, Message);
  const bool LacksPreset = Message.Version_ > versionOf(State);
  if (LacksPreset || Message.AnswerNow_.value_or(false))
    subscribe(State, From);
  else
    renewSubscription(State, From);
  subscribeToReaders(State);
  const bool IsChanged = Follower.KnownRevision_ != FormerRevision ||
                         versionOf(State) != FormerVersion ||
                         Zones == ZonesTaken::Changed ||
                         (AwaitedWholeList && IsComplete);
  relayUpdate(State, IsChanged);
}

} // namespace cumingauge::control
