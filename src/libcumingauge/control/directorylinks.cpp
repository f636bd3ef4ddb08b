#include "control/directorylinks.h"
#include "control/corestate.h"
#include "control/linkmanager.h"
#include "control/rendezvous.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::Member;
using Members = std::vector<const Member *>;

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
constexpr std::size_t ReadersPerMember = 2;
/// Fraction of the leaving bound after which an update is sent even without a
/// change and without a new confirmation, so that the link does not fall
/// silent.
constexpr double UpdateFraction = 0.4;
/// Fraction of the leaving bound after which updates count as missing. A reader
/// calls more often than that, and the rest of the bound suffices for a call by
/// this process itself.
constexpr double MissingFraction = 0.6;
constexpr model::seconds SilentLinkTimeout{3};
constexpr model::milliseconds ChoicePeriod{1000};

model::Duration fractionOfBound(const CoreState &State, double Part) {
  const auto Bound = model::Duration(State.Settings_.LeavingBound_);
  return std::chrono::duration_cast<model::Duration>(Bound * Part);
}

PeerAddress addressOf(const Member &Value) {
  return {Value.Host_, Value.Port_};
}

/// Returns the listed members of the own zone in the order in which they are
/// chosen as readers.
Members zoneMembersByRank(const CoreState &State) {
  Members Out;
  for (const Member &Listed : State.Directory_.ListedMembers_)
    if (Listed.Zone_ == State.Settings_.Self_.Zone_)
      Out.push_back(&Listed);
  std::sort(Out.begin(), Out.end(), [](const Member *L, const Member *R) {
    if (L->LinkMbps_ != R->LinkMbps_)
      return L->LinkMbps_ > R->LinkMbps_;
    return rendezvousWeight("directory", L->Process_) >
           rendezvousWeight("directory", R->Process_);
  });
  return Out;
}

/// Returns how many of a zone's members, in the order of zoneMembersByRank, are
/// readers.
std::size_t readerCount(const Members &Zone) {
  const bool HasFast =
      Zone.front()->LinkMbps_ > FastLinkRatio * Zone.back()->LinkMbps_;
  return std::max(MinReaders, Zone.size() / (HasFast ? MembersPerFastReader
                                                     : MembersPerReader));
}

bool isSelf(const CoreState &State, const Member &Value) {
  return Value.Process_ == State.Members_.Self_;
}

bool isReaderByRank(const CoreState &State, const Members &Zone) {
  const std::size_t Readers =
      Zone.empty() ? 0 : std::min(readerCount(Zone), Zone.size());
  return std::any_of(
      Zone.begin(), Zone.begin() + static_cast<std::ptrdiff_t>(Readers),
      [&](const Member *Value) { return isSelf(State, *Value); });
}

/// Returns the readers to keep links to. Those that could not be reached are
/// replaced by the next in rank, which becomes a reader when it receives a
/// subscription.
Members wantedReaders(const CoreState &State) {
  const Members Zone = zoneMembersByRank(State);
  if (Zone.size() < MinZoneSize || isReaderByRank(State, Zone))
    return {};
  Members Readers;
  for (const Member *Value : Zone)
    if (Readers.size() < readerCount(Zone) && !isSelf(State, *Value) &&
        (findLinkTo(State.Links_, Value->Process_) ||
         !isAddressAvoided(State, addressOf(*Value))))
      Readers.push_back(Value);
  std::sort(Readers.begin(), Readers.end(),
            [&](const Member *L, const Member *R) {
              const std::string &Self = State.Members_.Self_;
              return rendezvousWeight(Self, L->Process_) >
                     rendezvousWeight(Self, R->Process_);
            });
  Readers.resize(std::min(Readers.size(), ReadersPerMember));
  return Readers;
}

/// Returns the time in ms since calls of this process last confirmed a topic.
std::uint32_t ageMs(const CoreState &State, const DirectoryFeed &Feed) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<model::milliseconds>(State.Now_ -
                                                      Feed.ConfirmedAt_)
          .count());
}

DirectoryUpdate makeUpdate(const CoreState &State, const Link &To) {
  const DirectoryFollower &Follower = State.Directory_;
  const std::uint64_t Known = *To.KnownRevision_;
  DirectoryUpdate Out;
  Out.After_ = Known;
  Out.Revision_ = Follower.KnownRevision_;
  Out.AgeMs_ = ageMs(State, Follower.Servers_);
  Out.Version_ = versionOf(State);
  Out.VersionAgeMs_ = ageMs(State, Follower.Configuration_);
  if (const model::Preset *Preset = model::presetInForce(*State.Log_.State_);
      Preset && Out.Version_ > To.KnownVersion_)
    Out.Preset_ = *Preset;
  for (const auto &[Name, Revision] : Follower.ChangedAt_) {
    if (Revision <= Known)
      continue;
    const auto Listed = Follower.Listed_.find(Name);
    ServerListChange Entry{Name, std::nullopt, false};
    if (Listed != Follower.Listed_.end()) {
      Entry.Server_ = Listed->second.Server_;
      Entry.Leaving_ = Listed->second.Leaving_;
    }
    Out.Servers_.push_back(std::move(Entry));
  }
  return Out;
}

void sendUpdate(CoreState &State, Link &To) {
  To.NextUpdate_ = State.Now_ + fractionOfBound(State, UpdateFraction);
  send(State, To, makeUpdate(State, To));
  To.KnownRevision_ = State.Directory_.KnownRevision_;
  To.KnownVersion_ = versionOf(State);
}

bool isListRead(const CoreState &State) {
  return State.Directory_.Servers_.Read_ &&
         State.Directory_.Configuration_.Read_;
}

DirectorySubscription ownSubscription(const CoreState &State) {
  return {State.Directory_.KnownRevision_, versionOf(State)};
}

std::vector<ports::ServerEntry> entriesOf(const DirectoryUpdate &Message) {
  std::vector<ports::ServerEntry> Out;
  for (const ServerListChange &Update : Message.Servers_) {
    ports::ServerEntry Entry{Update.Name_, std::nullopt, Message.Revision_};
    if (Update.Server_)
      Entry.Listed_ = ports::ListedServer{*Update.Server_, Update.Leaving_};
    Out.push_back(std::move(Entry));
  }
  return Out;
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
  Feed.PeerConfirmedAt_ =
      std::max(Feed.PeerConfirmedAt_.value_or(ConfirmedAt), ConfirmedAt);
  if (Feed.Call_ == 0 && !isReader(State))
    Feed.Revision_ = 0;
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

void chooseReaders(CoreState &State) {
  if (State.Now_ < State.Links_.NextChoice_)
    return;
  State.Links_.NextChoice_ = State.Now_ + ChoicePeriod;
  dropExpiredAttempts(State);
  const Members Wanted = wantedReaders(State);
  for (const Member *Reader : Wanted)
    if (!findLinkTo(State.Links_, Reader->Process_))
      openLink(State, addressOf(*Reader));
  closeUnwantedLinks(State, Wanted);
}

} // namespace

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
  const bool HasNews =
      State.Now_ - Feed.PeerConfirmedAt_.value_or(model::TimePoint()) <
      fractionOfBound(State, MissingFraction);
  return !HasNews || isReader(State);
}

void maintainDirectoryLinks(CoreState &State) {
  dropSilentLinks(State);
  chooseReaders(State);
  if (!isListRead(State))
    return;
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_ && State.Now_ >= To.NextUpdate_)
      sendUpdate(State, To);
}

void subscribeToReader(CoreState &State, const Link &Opened) {
  if (Opened.Outbound_)
    send(State, Opened, ownSubscription(State));
}

void handleDirectorySubscription(CoreState &State, Link &From,
                                 const DirectorySubscription &Message) {
  if (!isReader(State))
    callNowAsReader(State);
  From.KnownRevision_ = Message.Revision_;
  From.KnownVersion_ = Message.Version_;
  if (isListRead(State))
    sendUpdate(State, From);
}

void handleDirectoryUpdate(CoreState &State, Link &From,
                           const DirectoryUpdate &Message) {
  DirectoryFollower &Follower = State.Directory_;
  if (!isListRead(State))
    return;
  const bool LacksChanges = Message.After_ > Follower.KnownRevision_;
  const bool LacksPreset =
      Message.Version_ > versionOf(State) && !Message.Preset_;
  if (LacksChanges || LacksPreset)
    return send(State, From, ownSubscription(State));
  // A reader with an older version or revision than this process confirms
  // nothing.
  if (Message.Version_ >= versionOf(State)) {
    if (Message.Preset_)
      applyConfiguration(State, {Message.Version_, *Message.Preset_});
    recordUpdate(State, Follower.Configuration_, Message.VersionAgeMs_);
  }
  if (Message.Revision_ >= Follower.KnownRevision_) {
    recordUpdate(State, Follower.Servers_, Message.AgeMs_);
    applyServerChanges(State, entriesOf(Message), Message.Revision_);
  }
}

void sendDirectoryUpdates(CoreState &State) {
  if (!isListRead(State))
    return;
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_)
      sendUpdate(State, To);
}

} // namespace cumingauge::control
