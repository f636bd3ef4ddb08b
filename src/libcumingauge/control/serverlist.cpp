#include "control/serverlist.h"
#include "control/corestate.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::ResultCode;
using ports::ListedServer;

/// Servers whose entries lapsed during an outage register again within 2 s.
constexpr model::milliseconds ReturnTime{2200};
/// Part of the servers that are missing after an outage of the directory.
constexpr double LapsedTogether = 0.5;
/// Servers still missing so soon after an outage are gone, however many.
constexpr model::seconds OneOutage{10};

/// Servers write only when something changes, so the directory's revision does
/// not tell whether it was down; entries that lapsed together do.
bool didManyLapse(const DirectoryFollower &Follower,
                  const std::map<std::string, ListedServer> &Read) {
  std::size_t Missing = 0;
  for (const auto &Entry : Follower.Listed_)
    Missing += Read.count(Entry.first) == 0 && !Entry.second.Leaving_;
  return Missing > 0 &&
         static_cast<double>(Missing) >=
             LapsedTogether * static_cast<double>(Follower.Listed_.size());
}

void recordDifference(CoreState &State, const ListedServer *Before,
                      const ListedServer *After) {
  const std::string &Name =
      After ? After->Server_.Name_ : Before->Server_.Name_;
  const auto Detail = [](const ListedServer &Listed) {
    return Listed.Server_.Service_ + " " + Listed.Server_.Host_ + ":" +
           std::to_string(Listed.Server_.Port_) + " vm " + Listed.Server_.Vm_;
  };
  if (!After)
    record(State, EventKind::ServerGone, Name, versionOf(State), ResultCode::Ok,
           Detail(*Before));
  else if (!Before || Before->Server_.Vm_ != After->Server_.Vm_)
    record(State, EventKind::ServerReady, Name, versionOf(State),
           ResultCode::Ok, Detail(*After));
}

/// Whether two entries mean the same for choosing a server. How long it stays
/// cold counts from the first time that it is listed.
bool isSameListing(const ListedServer &Left, ListedServer Right) {
  Right.Server_.ColdFor_ = Left.Server_.ColdFor_;
  return Left.Server_ == Right.Server_ && Left.Leaving_ == Right.Leaving_;
}

/// Takes an entry without noting it for the peers.
bool changeListed(CoreState &State, const ports::ServerEntry &Entry) {
  auto &Listed = State.Directory_.Listed_;
  const auto Known = Listed.find(Entry.Name_);
  if (!Entry.Listed_) {
    if (Known == Listed.end())
      return false;
    recordDifference(State, &Known->second, nullptr);
    Listed.erase(Known);
    return true;
  }
  if (Known != Listed.end() && isSameListing(Known->second, *Entry.Listed_))
    return false;
  recordDifference(State, Known == Listed.end() ? nullptr : &Known->second,
                   &*Entry.Listed_);
  Listed[Entry.Name_] = *Entry.Listed_;
  return true;
}

bool mayBeNewOutage(const CoreState &State) {
  const auto &Back = State.Directory_.BackAt_;
  return !Back || State.Now_ - *Back >= OneOutage;
}

} // namespace

bool isJustBack(const CoreState &State) {
  const auto &Back = State.Directory_.BackAt_;
  return Back && State.Now_ - *Back < ReturnTime;
}

bool takeEntry(CoreState &State, const ports::ServerEntry &Entry) {
  if (!changeListed(State, Entry))
    return false;
  State.Directory_.ChangedAt_[Entry.Name_] = State.Directory_.KnownRevision_;
  return true;
}

void takeList(CoreState &State,
              const std::map<std::string, ListedServer> &Read) {
  DirectoryFollower &Follower = State.Directory_;
  if (didManyLapse(Follower, Read) && mayBeNewOutage(State))
    Follower.BackAt_ = State.Now_;
  std::vector<std::string> Missing;
  for (const auto &Entry : Follower.Listed_)
    if (Read.count(Entry.first) == 0)
      Missing.push_back(Entry.first);
  // A server that was leaving is gone for good.
  for (const std::string &Name : Missing)
    if (!isJustBack(State) || Follower.Listed_[Name].Leaving_)
      takeEntry(State, {Name, std::nullopt});
  for (const auto &[Name, Entry] : Read)
    takeEntry(State, {Name, Entry});
}

void noteKnown(CoreState &State, std::uint64_t Revision) {
  DirectoryFollower &Follower = State.Directory_;
  Follower.KnownRevision_ = std::max(Follower.KnownRevision_, Revision);
}

bool takePage(CoreState &State, const ports::DirectoryResponse &Answer) {
  DirectoryFollower &Follower = State.Directory_;
  if (Follower.NextPage_.empty()) {
    Follower.Pages_.clear();
    Follower.PagesRevision_ = Answer.Revision_;
    Follower.PagesTrueAt_ = Follower.Servers_.Issued_;
  }
  for (const ports::ServerEntry &Entry : Answer.Servers_)
    if (Entry.Listed_)
      Follower.Pages_[Entry.Name_] = *Entry.Listed_;
  Follower.NextPage_ = Answer.Next_;
  return Answer.Next_.empty();
}

} // namespace cumingauge::control
