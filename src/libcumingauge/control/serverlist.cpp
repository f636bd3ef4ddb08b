#include "control/serverlist.h"
#include "control/corestate.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::ResultCode;
using ports::ListedServer;

/// Backend servers whose entries expired during an outage register again within
/// 2 s.
constexpr model::milliseconds ReregistrationTime{2200};
/// Fraction of the servers that must be missing for the directory to have been
/// down.
constexpr double OutageMissingFraction = 0.5;
/// Maximum number of changes that are recorded as one event each; an event
/// costs some 30 us of the control thread.
constexpr std::size_t MaxSeparateEvents = 8;
/// Time after an outage in which missing servers do not count as another
/// outage; those still missing are then removed, however many they are.
constexpr model::seconds OutageWindow{10};

/// Returns true when so many servers are missing that the directory must have
/// been down. Servers write only when something changes, so the directory's
/// revision does not show whether it was down; many entries that expired
/// together do.
bool areManyMissing(const DirectoryFollower &Follower,
                    const std::map<std::string, ports::ServerEntry> &Read) {
  std::size_t Missing = 0;
  for (const auto &Entry : Follower.Listed_)
    Missing += Read.count(Entry.first) == 0 && !Entry.second.Leaving_;
  return Missing > 0 && static_cast<double>(Missing) >=
                            OutageMissingFraction *
                                static_cast<double>(Follower.Listed_.size());
}

std::string describe(const ListedServer &Listed) {
  return Listed.Server_.Service_ + " " + Listed.Server_.Host_ + ":" +
         std::to_string(Listed.Server_.Port_) + " vm " + Listed.Server_.Vm_;
}

/// Servers that were added and removed by one update.
struct Differences {
  std::vector<ListedServer> Ready_;
  std::vector<ListedServer> Gone_;
};

void addDifference(Differences &Out, const ListedServer *Before,
                   const ListedServer *After) {
  if (!After)
    Out.Gone_.push_back(*Before);
  else if (!Before || Before->Server_.Vm_ != After->Server_.Vm_)
    Out.Ready_.push_back(*After);
}

std::string namesOf(const std::vector<ListedServer> &Servers) {
  std::string Out;
  for (const ListedServer &Listed : Servers)
    Out += " " + Listed.Server_.Vm_;
  return Out;
}

/// Records one event per server, or one for all when there are many, as at a
/// start or after an outage.
void recordDifferences(CoreState &State, const Differences &Found) {
  if (Found.Ready_.size() + Found.Gone_.size() > MaxSeparateEvents)
    return record(State, EventKind::ServersChanged, "servers", versionOf(State),
                  ResultCode::Ok,
                  "ready:" + namesOf(Found.Ready_) +
                      "; gone:" + namesOf(Found.Gone_));
  for (const ListedServer &Listed : Found.Ready_)
    record(State, EventKind::ServerReady, Listed.Server_.Name_,
           versionOf(State), ResultCode::Ok, describe(Listed));
  for (const ListedServer &Listed : Found.Gone_)
    record(State, EventKind::ServerGone, Listed.Server_.Name_, versionOf(State),
           ResultCode::Ok, describe(Listed));
}

/// Returns whether two entries are the same for choosing a server. ColdFor_ is
/// ignored: it counts from the time at which the spell was noticed.
bool isSameListing(const ListedServer &Left, ListedServer Right) {
  Right.Server_.ColdFor_ = Left.Server_.ColdFor_;
  return Left.Server_ == Right.Server_ && Left.Leaving_ == Right.Leaving_;
}

/// Numbers the cold spell of a server that was read from the directory. It is a
/// new one when the time until the server is warm has grown.
void numberColdSpell(const ListedServer &Known, ListedServer &Read) {
  if (Known.Server_.Vm_ != Read.Server_.Vm_)
    return;
  Read.Server_.ColdSpell_ = Known.Server_.ColdSpell_;
  if (Read.Server_.ColdFor_ > Known.Server_.ColdFor_)
    ++Read.Server_.ColdSpell_;
}

/// Records that a server is kept although the directory does not list it. Of
/// two times at which it was found missing the earlier one counts.
void recordMissing(CoreState &State, const std::string &Name,
                   model::TimePoint Since) {
  const auto Added = State.Directory_.MissingSince_.try_emplace(Name, Since);
  Added.first->second = std::min(Added.first->second, Since);
}

/// Applies an entry without recording its revision for the peers.
/// \returns true when it changed what is known of the server.
bool updateListed(CoreState &State, const ports::ServerEntry &Entry,
                  Differences &Found) {
  auto &Listed = State.Directory_.Listed_;
  const auto Known = Listed.find(Entry.Name_);
  if (Entry.MissingSince_)
    recordMissing(State, Entry.Name_, *Entry.MissingSince_);
  else
    State.Directory_.MissingSince_.erase(Entry.Name_);
  // Nothing is known of the server that is newer than its listing here.
  if (Entry.MissingSince_ && Known != Listed.end())
    return false;
  if (!Entry.Listed_) {
    if (Known == Listed.end())
      return false;
    addDifference(Found, &Known->second, nullptr);
    recordRemoval(State, Known->second);
    Listed.erase(Known);
    return true;
  }
  recordListing(State, *Entry.Listed_);
  ListedServer Read = *Entry.Listed_;
  if (Known != Listed.end() && !Entry.IsFromPeer_)
    numberColdSpell(Known->second, Read);
  if (Known != Listed.end() &&
      Known->second.Server_.Vm_ != Entry.Listed_->Server_.Vm_)
    recordRemoval(State, Known->second);
  if (Known != Listed.end() && isSameListing(Known->second, Read)) {
    Known->second.Server_.ColdFor_ = Read.Server_.ColdFor_;
    return false;
  }
  addDifference(Found, Known == Listed.end() ? nullptr : &Known->second, &Read);
  Listed[Entry.Name_] = Read;
  return true;
}

/// Applies an entry and records its revision for the peers. An entry that is
/// unchanged may have been absent meanwhile, and peers that read the list at
/// that time lack it; so its own revision is recorded. The removal of a server
/// that was never known here is news to peers that knew it.
bool applyServerEntry(CoreState &State, const ports::ServerEntry &Entry,
                      Differences &Found) {
  const bool Changed = updateListed(State, Entry, Found);
  const DirectoryRevision Known = State.Directory_.KnownRevision_;
  ServerChange &Last = State.Directory_.Changes_[Entry.Name_];
  const DirectoryRevision At =
      Changed || !Entry.Listed_
          ? Known
          : DirectoryRevision{Known.Era_, Entry.Revision_};
  Last.Revision_ = std::max(Last.Revision_, At);
  if (Changed)
    Last.Number_ = ++State.Directory_.LastChange_;
  return Changed;
}

/// Returns whether an entry of a list that was read from the directory was
/// written after the first read of the era, and so is not from a copy.
bool isWrittenInEra(const DirectoryFollower &Follower,
                    const ports::ServerEntry &Entry) {
  const DirectoryRevision First = Follower.FirstRevision_;
  return First.Era_ == Follower.Era_.Number_ && Entry.Revision_ > First.Number_;
}

/// Returns whether the entry names an earlier start of a server than the known
/// one, as a copy of the directory does.
bool isReplacedStart(const CoreState &State, const ports::ServerEntry &Entry) {
  const auto &Listed = State.Directory_.Listed_;
  const auto Known = Listed.find(Entry.Name_);
  return Known != Listed.end() &&
         Known->second.Server_.Vm_ != Entry.Listed_->Server_.Vm_ &&
         isDeparted(State, *Entry.Listed_);
}

/// Returns whether a server that a whole read lacks may still register again.
/// One that was leaving has left.
bool mayRegisterAgain(const CoreState &State, const std::string &Name) {
  const DirectoryFollower &Follower = State.Directory_;
  const auto Since = Follower.MissingSince_.find(Name);
  const bool IsOverdue = Since != Follower.MissingSince_.end() &&
                         State.Now_ - Since->second >= ReregistrationTime;
  return isOutageJustOver(State) && !IsOverdue &&
         !Follower.Listed_.at(Name).Leaving_;
}

bool canBeNewOutage(const CoreState &State) {
  const auto &Back = State.Directory_.OutageEndedAt_;
  return !Back || State.Now_ - *Back >= OutageWindow;
}

} // namespace

bool isOutageJustOver(const CoreState &State) {
  const auto &Back = State.Directory_.OutageEndedAt_;
  return Back && State.Now_ - *Back < ReregistrationTime;
}

bool applyServerEntries(CoreState &State,
                        const std::vector<ports::ServerEntry> &Entries) {
  Differences Found;
  bool Changed = false;
  for (const ports::ServerEntry &Entry : Entries) {
    if (Entry.Listed_ && !Entry.Departed_ && !Entry.MissingSince_)
      Changed = recordRenewal(State, *Entry.Listed_) || Changed;
    Changed = applyServerEntry(State, Entry, Found) || Changed;
  }
  recordDifferences(State, Found);
  return Changed;
}

void applyServerList(CoreState &State,
                     const std::map<std::string, ports::ServerEntry> &Read,
                     MissingServers Rule) {
  DirectoryFollower &Follower = State.Directory_;
  const bool MayKeep = Rule == MissingServers::KeepAfterOutage;
  if (MayKeep && areManyMissing(Follower, Read) && canBeNewOutage(State))
    Follower.OutageEndedAt_ = State.Now_;
  std::vector<std::string> Missing;
  for (const auto &Entry : Follower.Listed_)
    if (Read.count(Entry.first) == 0)
      Missing.push_back(Entry.first);
  Differences Found;
  for (const std::string &Name : Missing)
    if (MayKeep && mayRegisterAgain(State, Name))
      recordMissing(State, Name, State.Now_);
    else
      applyServerEntry(State, {Name, std::nullopt, 0}, Found);
  for (const auto &[Name, Entry] : Read) {
    // The entries in a peer's list have no revisions of their own.
    if (MayKeep && isWrittenInEra(Follower, Entry))
      recordRenewal(State, *Entry.Listed_);
    // The known start may still register again.
    if (MayKeep && isReplacedStart(State, Entry) && isOutageJustOver(State)) {
      recordMissing(State, Name, State.Now_);
      continue;
    }
    applyServerEntry(State, Entry, Found);
  }
  recordDifferences(State, Found);
}

ports::ServerEntry entryToTake(const CoreState &State,
                               const ports::ServerEntry &Entry) {
  const DirectoryFollower &Follower = State.Directory_;
  if (!Entry.MissingSince_ || !Follower.Servers_.Read_)
    return Entry;
  const auto Known = Follower.Listed_.find(Entry.Name_);
  const bool IsKept = Known != Follower.Listed_.end() &&
                      !Known->second.Leaving_ &&
                      Known->second.Server_.Vm_ == Entry.Listed_->Server_.Vm_;
  return IsKept
             ? Entry
             : ports::ServerEntry{Entry.Name_, std::nullopt, Entry.Revision_};
}

void advanceKnownRevision(CoreState &State, DirectoryRevision Revision) {
  DirectoryFollower &Follower = State.Directory_;
  Follower.KnownRevision_ = std::max(Follower.KnownRevision_, Revision);
}

bool addServerPage(ServerListRead &Read,
                   const ports::DirectoryResponse &Response) {
  if (Read.NextPage_.empty())
    Read.Revision_ = Response.Revision_;
  for (const ports::ServerEntry &Entry : Response.Servers_)
    if (Entry.Listed_)
      Read.Entries_[Entry.Name_] = Entry;
  Read.NextPage_ = Response.Next_;
  return Response.Next_.empty();
}

} // namespace cumingauge::control
