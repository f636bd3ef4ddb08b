#include "control/updatesender.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directoryevidence.h"
#include "control/directoryfollower.h"
#include "control/directorylinks.h"
#include <algorithm>
#include <limits>
#include <utility>

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

/// Returns a time in ms since the peer's subscription was received.
std::int32_t offsetMs(const Subscriber &To, model::TimePoint Time) {
  using Limits = std::numeric_limits<std::int32_t>;
  const auto Offset =
      std::chrono::floor<model::milliseconds>(Time - To.AskedAt_).count();
  return static_cast<std::int32_t>(
      std::clamp<std::int64_t>(Offset, Limits::min(), Limits::max()));
}

ServerListChange changeOf(const CoreState &State, const Subscriber &To,
                          const std::string &Name) {
  const DirectoryFollower &Follower = State.Directory_;
  ServerListChange Out;
  Out.Name_ = Name;
  const auto Listed = Follower.Listed_.find(Name);
  if (Listed != Follower.Listed_.end()) {
    Out.Server_ = Listed->second.Server_;
    Out.Leaving_ = Listed->second.Leaving_;
    Out.WasLeaving_ = wasLeaving(State, Listed->second);
    if (const auto Since = Follower.MissingSince_.find(Name);
        Since != Follower.MissingSince_.end())
      Out.MissingMs_ = offsetMs(To, Since->second);
  }
  return Out;
}

bool isNew(const Subscriber &To, const ServerChange &Change) {
  return Change.Revision_ > To.KnownRevision_ ||
         Change.Number_ > To.SentChange_;
}

/// Returns the preset in force, or null when the peer has it.
const model::Preset *newPreset(const CoreState &State, const Subscriber &To) {
  return versionOf(State) > To.KnownVersion_
             ? model::presetInForce(*State.Log_.State_)
             : nullptr;
}

/// What an update has of the server list.
enum class UpdateContent { Changes, WholeList };

DirectoryUpdate makeUpdate(const CoreState &State, const Subscriber &To,
                           UpdateContent Content) {
  const DirectoryFollower &Follower = State.Directory_;
  const DirectoryRevision Known = To.KnownRevision_;
  DirectoryUpdate Out;
  Out.Asked_ = To.Asked_;
  Out.After_ = Known.Number_;
  Out.Era_ = Follower.KnownRevision_.Era_;
  Out.Revision_ = Follower.KnownRevision_.Number_;
  Out.ConfirmedMs_ = offsetMs(To, confirmedAt(Follower.Servers_));
  Out.Version_ = versionOf(State);
  Out.VersionConfirmedMs_ = offsetMs(To, confirmedAt(Follower.Configuration_));
  Out.EvacuatedZones_ = Follower.Evacuations_.Requested_;
  Out.ZonesRevision_ = Follower.Evacuations_.Revision_.Number_;
  if (const model::Preset *Preset = newPreset(State, To))
    Out.Preset_ = *Preset;
  if (Content == UpdateContent::WholeList) {
    Out.Complete_ = true;
    for (const auto &Entry : Follower.Listed_)
      Out.Servers_.push_back(changeOf(State, To, Entry.first));
    return Out;
  }
  for (const auto &[Name, Change] : Follower.Changes_)
    if (isNew(To, Change))
      Out.Servers_.push_back(changeOf(State, To, Name));
  return Out;
}

/// Returns whether the changes that this process knows do not suffice for a
/// peer: what the directory lost with an older era has no revision, and
/// removals before the first list are unknown.
bool lacksHistory(const DirectoryFollower &Follower, DirectoryRevision Known) {
  return Known < Follower.FirstRevision_ ||
         Known.Era_ < Follower.KnownRevision_.Era_;
}

/// Returns whether only the whole list shows a peer all removals before it was
/// read.
bool needsWholeList(const DirectoryFollower &Follower,
                    DirectoryRevision Known) {
  return lacksHistory(Follower, Known) || Known < Follower.ChangesSince_;
}

/// Returns whether this process knows something that a peer has not been sent.
bool hasNews(const CoreState &State, const Subscriber &To) {
  const DirectoryFollower &Follower = State.Directory_;
  return needsWholeList(Follower, To.KnownRevision_) || newPreset(State, To) ||
         To.SentZones_ != Follower.Evacuations_.Requested_ ||
         std::any_of(
             Follower.Changes_.begin(), Follower.Changes_.end(),
             [&](const auto &Entry) { return isNew(To, Entry.second); });
}

void sendNumbered(CoreState &State, Link &To, DirectoryUpdate Message) {
  Message.Number_ = ++To.Subscriber_->SentNumber_;
  send(State, To, std::move(Message));
}

/// Sends what a peer lacks, with the whole list where changes do not suffice.
void sendChanges(CoreState &State, Link &Link) {
  const DirectoryFollower &Follower = State.Directory_;
  Subscriber &To = *Link.Subscriber_;
  // The whole list does not say which servers have registered again.
  const bool NeedsWholeList = needsWholeList(Follower, To.KnownRevision_);
  if (!lacksHistory(Follower, To.KnownRevision_)) {
    DirectoryUpdate Changes = makeUpdate(State, To, UpdateContent::Changes);
    if (NeedsWholeList)
      Changes.Complete_ = false;
    else
      Changes.AnswerNow_ = true;
    sendNumbered(State, Link, std::move(Changes));
    To.KnownVersion_ = versionOf(State);
  }
  if (NeedsWholeList) {
    DirectoryUpdate Whole = makeUpdate(State, To, UpdateContent::WholeList);
    Whole.AnswerNow_ = true;
    sendNumbered(State, Link, std::move(Whole));
  }
  To.Unacknowledged_ = {To.SentNumber_, Follower.KnownRevision_,
                        To.SentChange_};
}

/// Sends an update. Changes wait until the last ones were acknowledged; without
/// changes an update is small and may follow at any time.
void sendUpdate(CoreState &State, Link &Link) {
  const DirectoryFollower &Follower = State.Directory_;
  Subscriber &To = *Link.Subscriber_;
  const bool HasNews = hasNews(State, To);
  if (Follower.AwaitsWholeList_)
    return;
  if (HasNews && To.Unacknowledged_) {
    To.HasWithheld_ = true;
    return;
  }
  To.UpdatedAt_ = State.Now_;
  To.ConfirmedAt_ = directoryConfirmedAt(State);
  if (HasNews)
    sendChanges(State, Link);
  else
    sendNumbered(State, Link, makeUpdate(State, To, UpdateContent::Changes));
  To.KnownRevision_ = Follower.KnownRevision_;
  To.KnownVersion_ = versionOf(State);
  To.SentChange_ = Follower.LastChange_;
  To.SentZones_ = Follower.Evacuations_.Requested_;
}

/// Ends the wait for an acknowledgement. Changes that the peer could not apply
/// are to be sent again.
void settle(Subscriber &To, DirectoryRevision Received) {
  if (!To.Unacknowledged_)
    return;
  if (Received < To.Unacknowledged_->Revision_) {
    To.SentChange_ = To.Unacknowledged_->FormerChange_;
    To.SentZones_.reset();
  }
  To.Unacknowledged_.reset();
}

/// Records a subscription of a peer.
void recordSubscription(CoreState &State, Link &From,
                        const DirectorySubscription &Message) {
  if (!From.Subscriber_) {
    From.Subscriber_.emplace();
    From.Subscriber_->SentChange_ = State.Directory_.LastChange_;
  }
  Subscriber &To = *From.Subscriber_;
  To.Asked_ = Message.Asked_;
  To.AskedAt_ = State.Now_;
  From.HasNotRead_ = Message.Revision_ == 0 && Message.Version_ == 0;
  // One that was sent before the last changes arrived does not tell what the
  // peer has with them.
  if (To.Unacknowledged_ && Message.Received_ < To.Unacknowledged_->Number_)
    return;
  To.KnownRevision_ = {Message.Era_.value_or(0), Message.Revision_};
  To.KnownVersion_ = Message.Version_;
  settle(To, To.KnownRevision_);
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
  const bool IsFirst = !From.Subscriber_;
  const bool WasAwaited = !IsFirst && From.Subscriber_->Unacknowledged_;
  recordSubscription(State, From, Message);
  if (!isDirectoryRead(State))
    return send(State, From, DirectoryNotRead{});
  Subscriber &To = *From.Subscriber_;
  if (To.Unacknowledged_)
    return;
  // What a peer did not apply is repeated with the next update that is due, or
  // both would go on without a pause.
  const bool HasWithheld = std::exchange(To.HasWithheld_, false);
  if (IsFirst || (WasAwaited ? HasWithheld : hasNews(State, To)))
    sendUpdate(State, From);
}

void relayUpdate(CoreState &State, bool IsChanged) {
  if (!isDirectoryRead(State))
    return;
  const model::Duration Pause = fractionOfLeavingBound(State, RelayFraction);
  const model::TimePoint Confirmed = directoryConfirmedAt(State);
  // Without a newer confirmation nothing is sent, so that old updates do not
  // circulate between processes that subscribe to each other.
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.Subscriber_ &&
        (IsChanged || Confirmed - To.Subscriber_->ConfirmedAt_ >= Pause))
      sendUpdate(State, To);
}

void sendDirectoryUpdates(CoreState &State) {
  if (!isDirectoryRead(State))
    return;
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.Subscriber_)
      sendUpdate(State, To);
}

void sendOverdueUpdates(CoreState &State) {
  if (!isDirectoryRead(State))
    return;
  const model::Duration Pause = fractionOfLeavingBound(State, UpdateFraction);
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.Subscriber_ && State.Now_ - To.Subscriber_->UpdatedAt_ >= Pause)
      sendUpdate(State, To);
}

} // namespace cumingauge::control
