#include "control/directorylinks.h"
#include "control/corestate.h"
#include "control/linkkeeper.h"
#include "control/rendezvous.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::Member;
using Members = std::vector<const Member *>;

/// In a smaller zone, links cost more than the calls that they save.
constexpr std::size_t LeastZone = 8;
constexpr std::size_t LeastReaders = 2;
/// A reader has links to an eighth of its zone for each of the two that every
/// member keeps: well below the limit of links of a process.
constexpr std::size_t MembersPerReader = 8;
constexpr std::size_t ReadersPerMember = 2;
/// Part of the leaving bound between two news without a change.
constexpr double NewsPart = 0.2;
/// Part of the leaving bound after which news count as missing. A reader asks
/// more often than that, and the rest suffices for a call of one's own.
constexpr double MissingPart = 0.6;
constexpr model::seconds SilentLink{3};
constexpr model::milliseconds ChoicePeriod{1000};

model::Duration partOfBound(const CoreState &State, double Part) {
  const auto Bound = model::Duration(State.Settings_.LeavingBound_);
  return std::chrono::duration_cast<model::Duration>(Bound * Part);
}

PeerAddress addressOf(const Member &Value) {
  return {Value.Host_, Value.Port_};
}

/// Listed members of the own zone in the order in which they are readers.
Members zoneByRank(const CoreState &State) {
  Members Out;
  for (const Member &Listed : State.Directory_.ListedMembers_)
    if (Listed.Zone_ == State.Settings_.Self_.Zone_)
      Out.push_back(&Listed);
  std::sort(Out.begin(), Out.end(), [](const Member *L, const Member *R) {
    return rendezvousWeight("directory", L->Process_) >
           rendezvousWeight("directory", R->Process_);
  });
  return Out;
}

std::size_t readersOf(std::size_t Zone) {
  return std::max(LeastReaders, Zone / MembersPerReader);
}

bool isSelf(const CoreState &State, const Member &Value) {
  return Value.Process_ == State.Members_.Self_;
}

bool isReaderByRank(const CoreState &State, const Members &Zone) {
  const std::size_t Readers = std::min(readersOf(Zone.size()), Zone.size());
  return std::any_of(
      Zone.begin(), Zone.begin() + static_cast<std::ptrdiff_t>(Readers),
      [&](const Member *Value) { return isSelf(State, *Value); });
}

/// The readers to keep links to; those that could not be reached are replaced
/// by the next in rank, which becomes a reader by being asked.
Members wantedReaders(const CoreState &State) {
  const Members Zone = zoneByRank(State);
  if (Zone.size() < LeastZone || isReaderByRank(State, Zone))
    return {};
  Members Readers;
  for (const Member *Value : Zone)
    if (Readers.size() < readersOf(Zone.size()) && !isSelf(State, *Value) &&
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

/// Moment of which this process knows the list of servers.
model::TimePoint trueAt(const CoreState &State) {
  const DirectoryFollower &Follower = State.Directory_;
  const DirectoryFeed &Feed = Follower.Servers_;
  const bool IsWatching = Feed.Call_ != 0 && Feed.Revision_ > 0;
  return IsWatching ? State.Now_ : Follower.TrueAt_;
}

DirectoryNews newsFor(const CoreState &State, std::uint64_t Known) {
  const DirectoryFollower &Follower = State.Directory_;
  DirectoryNews Out;
  Out.After_ = Known;
  Out.Revision_ = Follower.KnownRevision_;
  Out.AgeMs_ = static_cast<std::uint32_t>(
      std::chrono::duration_cast<model::milliseconds>(State.Now_ -
                                                      trueAt(State))
          .count());
  for (const auto &[Name, Revision] : Follower.ChangedAt_) {
    if (Revision <= Known)
      continue;
    const auto Listed = Follower.Listed_.find(Name);
    ListedNews Entry{Name, std::nullopt, false};
    if (Listed != Follower.Listed_.end()) {
      Entry.Server_ = Listed->second.Server_;
      Entry.Leaving_ = Listed->second.Leaving_;
    }
    Out.Servers_.push_back(std::move(Entry));
  }
  return Out;
}

void sendNews(CoreState &State, Link &To) {
  To.NextNews_ = State.Now_ + partOfBound(State, NewsPart);
  send(State, To, newsFor(State, *To.KnownRevision_));
  To.KnownRevision_ = State.Directory_.KnownRevision_;
}

void dropSilentLinks(CoreState &State) {
  std::vector<LinkId> Silent;
  for (const auto &[Id, Value] : State.Links_.Links_)
    if (Value.Ordered_ && !Value.Operator_ &&
        State.Now_ - Value.LastHeard_ >= SilentLink)
      Silent.push_back(Id);
  for (const LinkId Id : Silent) {
    State.Links_.AvoidUntil_[addressOf(State.Links_.Links_[Id].Peer_)] =
        State.Now_ + SilentLink;
    closeLink(State, Id, model::ResultCode::PeerUnreachable);
  }
}

void chooseReaders(CoreState &State) {
  if (State.Now_ < State.Links_.NextChoice_)
    return;
  State.Links_.NextChoice_ = State.Now_ + ChoicePeriod;
  dropLapsedAttempts(State);
  const Members Wanted = wantedReaders(State);
  for (const Member *Reader : Wanted)
    if (!findLinkTo(State.Links_, Reader->Process_))
      openLink(State, addressOf(*Reader));
  closeUnwanted(State, Wanted);
}

} // namespace

bool isReader(const CoreState &State) {
  return std::any_of(State.Links_.Links_.begin(), State.Links_.Links_.end(),
                     [](const auto &Entry) {
                       return Entry.second.KnownRevision_.has_value();
                     });
}

bool mustAskDirectory(const CoreState &State) {
  const bool HasNews =
      State.Now_ - State.Directory_.NewsTrueAt_.value_or(model::TimePoint()) <
      partOfBound(State, MissingPart);
  return !HasNews || isReader(State);
}

void keepDirectoryLinks(CoreState &State) {
  dropSilentLinks(State);
  chooseReaders(State);
  if (!State.Directory_.ServersRead_)
    return;
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_ && State.Now_ >= To.NextNews_)
      sendNews(State, To);
}

void greetReader(CoreState &State, const Link &Opened) {
  if (Opened.Ordered_)
    send(State, Opened, DirectoryInterest{State.Directory_.KnownRevision_});
}

void takeDirectoryInterest(CoreState &State, Link &From,
                           const DirectoryInterest &Message) {
  From.KnownRevision_ = Message.Revision_;
  if (State.Directory_.ServersRead_)
    sendNews(State, From);
}

void takeDirectoryNews(CoreState &State, Link &From,
                       const DirectoryNews &Message) {
  DirectoryFollower &Follower = State.Directory_;
  if (Message.Revision_ < Follower.KnownRevision_ || !Follower.ServersRead_)
    return; // the reader is behind what is known here
  if (Message.After_ > Follower.KnownRevision_) {
    send(State, From, DirectoryInterest{Follower.KnownRevision_});
    return;
  }
  std::vector<ports::ServerEntry> Entries;
  for (const ListedNews &News : Message.Servers_) {
    ports::ServerEntry Entry{News.Name_, std::nullopt};
    if (News.Server_)
      Entry.Listed_ = ports::ListedServer{*News.Server_, News.Leaving_};
    Entries.push_back(std::move(Entry));
  }
  const model::TimePoint TrueAt =
      State.Now_ - model::milliseconds(Message.AgeMs_);
  Follower.NewsTrueAt_ =
      std::max(Follower.NewsTrueAt_.value_or(TrueAt), TrueAt);
  takeServerEntries(State, Entries, Message.Revision_);
}

void sendDirectoryNews(CoreState &State) {
  for (auto &[Id, To] : State.Links_.Links_)
    if (To.KnownRevision_)
      sendNews(State, To);
}

} // namespace cumingauge::control
