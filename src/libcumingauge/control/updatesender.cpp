#include "control/updatesender.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directoryevidence.h"
#include "control/directoryfollower.h"
#include "control/directorylinks.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

/// Fraction of the leaving bound after which an update is sent even without a
/// change and without a new confirmation, so that the link does not fall
/// silent.
constexpr double UpdateFraction = 0.4;
/// Fraction of the leaving bound for which a confirmation counts as new. A
/// reader receives confirmations from two others; it passes one on when the
/// last one that it has sent is older than this.
constexpr double RelayFraction = 0.25;

/// Returns the time in ms since a topic was last confirmed.
std::uint32_t ageMs(const CoreState &State, const DirectoryFeed &Feed) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<model::milliseconds>(State.Now_ -
                                                      confirmedAt(Feed))
          .count());
}

ServerListChange changeOf(const CoreState &State, const std::string &Name) {
  const DirectoryFollower &Follower = State.Directory_;
  ServerListChange Out{Name, std::nullopt, false, std::nullopt};
  const auto Listed = Follower.Listed_.find(Name);
  if (Listed != Follower.Listed_.end()) {
    Out.Server_ = Listed->second.Server_;
    Out.Leaving_ = Listed->second.Leaving_;
    Out.WasLeaving_ = wasLeaving(State, Listed->second);
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

/// Makes the next calls due at once. Other processes rely on this one from now
/// on, before the pause between its own calls ends.
void callNowAsReader(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  for (DirectoryFeed *Feed : {&Follower.Configuration_, &Follower.Servers_})
    if (Feed->Failures_ == 0)
      Feed->NextAt_ = std::min(Feed->NextAt_, State.Now_);
}

} // namespace

void handleDirectorySubscription(CoreState &State, Link &From,
                                 const DirectorySubscription &Message) {
  if (!isReader(State))
    callNowAsReader(State);
  From.KnownRevision_ =
      DirectoryRevision{Message.Era_.value_or(0), Message.Revision_};
  From.KnownVersion_ = Message.Version_;
  From.HasNotRead_ = Message.Revision_ == 0 && Message.Version_ == 0;
  From.SentChange_ = State.Directory_.LastChange_;
  if (isDirectoryRead(State))
    sendUpdate(State, From);
  else
    send(State, From, DirectoryNotRead{});
}

void relayUpdate(CoreState &State, bool IsChanged) {
  if (!isDirectoryRead(State))
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

void sendDirectoryUpdates(CoreState &State) {
  if (!isDirectoryRead(State))
    return;
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_)
      sendUpdate(State, To);
}

void sendOverdueUpdates(CoreState &State) {
  if (!isDirectoryRead(State))
    return;
  const model::Duration Pause = fractionOfLeavingBound(State, UpdateFraction);
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_ && State.Now_ - To.UpdatedAt_ >= Pause)
      sendUpdate(State, To);
}

} // namespace cumingauge::control
