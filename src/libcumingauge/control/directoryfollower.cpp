#include "control/directoryfollower.h"
#include "control/corestate.h"
#include "control/storefollower.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::ResultCode;
using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryTopic;
using ports::ListedServer;

/// Longest wait that the directory allows a watch.
constexpr model::milliseconds WatchWait{30000};
constexpr model::milliseconds FirstRetry{150};
/// Half of the time in which a server that lost its entry during an outage has
/// it back, so that the end of the outage is seen soon.
constexpr model::milliseconds LastRetry{1000};
/// Servers whose entries lapsed during an outage register again within 2 s.
constexpr model::milliseconds ReturnTime{2200};
constexpr model::seconds CallTimeout{5};
/// A server's entry is read this often within the time in which a leaving mark
/// must be in force: once, with a third of the time left for the answer.
constexpr double ReadPart = 0.7;

model::Duration readPeriod(const CoreState &State) {
  const auto Bound = model::Duration(State.Settings_.LeavingBound_);
  return std::chrono::duration_cast<model::Duration>(Bound * ReadPart);
}

StoreCallId callDirectory(CoreState &State, DirectoryRequest Request) {
  const StoreCallId Call = ++State.LastCall_;
  give(State, CallDirectory{Call, std::move(Request)});
  return Call;
}

void issue(CoreState &State, DirectoryFeed &Feed, DirectoryRequest Request) {
  Feed.Issued_ = State.Now_;
  Feed.Call_ = callDirectory(State, std::move(Request));
}

bool isDueNow(const CoreState &State, const DirectoryFeed &Feed) {
  return Feed.Call_ == 0 && State.Now_ >= Feed.NextAt_;
}

void noteFailure(CoreState &State, DirectoryFeed &Feed) {
  noteStoreHealth(State, /*Works=*/false);
  const unsigned Doublings = std::min(Feed.Failures_, 4U);
  ++Feed.Failures_;
  Feed.NextAt_ = State.Now_ +
                 jittered(State, std::min<model::Duration>(
                                     FirstRetry * (1 << Doublings), LastRetry));
}

void noteSuccess(CoreState &State, DirectoryFeed &Feed) {
  const bool WasAway = State.Follower_.Away_;
  noteStoreHealth(State, /*Works=*/true);
  if (WasAway)
    State.Directory_.BackAt_ = State.Now_;
  Feed.Failures_ = 0;
  Feed.TrueAt_ = Feed.Issued_;
}

void noteUnreadable(CoreState &State, const model::Problems &Found) {
  for (const model::Problem &Problem : Found)
    record(State, EventKind::Alarm, Problem.Path_, versionOf(State),
           ResultCode::StoreAnswerInvalid, Problem.Message_);
}

/// Makes a new configuration of the preset in force and the servers listed.
void replaceState(CoreState &State, model::ConfigState Next) {
  Next.Servers_.clear();
  Next.LeavingVms_.clear();
  for (const auto &[Name, Listed] : State.Directory_.Listed_) {
    Next.Servers_[Name] = Listed.Server_;
    if (Listed.Leaving_)
      Next.LeavingVms_[Name] = Listed.Server_.Vm_;
  }
  State.Log_.State_ =
      std::make_shared<const model::ConfigState>(std::move(Next));
  State.HasState_ =
      State.HasState_ || (State.Directory_.Configuration_.Revision_ > 0 &&
                          State.Directory_.Servers_.Revision_ > 0);
  State.Confirmed_ = State.HasState_;
  State.ViewChanged_ = true;
}

// Configuration.

void followConfiguration(CoreState &State) {
  DirectoryFeed &Feed = State.Directory_.Configuration_;
  if (!isDueNow(State, Feed))
    return;
  DirectoryRequest Request;
  Request.Topic_ = DirectoryTopic::Configuration;
  if (Feed.Revision_ > 0) {
    Request.Operation_ = DirectoryOperation::Watch;
    Request.After_ = Feed.Revision_;
    Request.Wait_ = WatchWait;
  }
  issue(State, Feed, std::move(Request));
}

void takeConfiguration(CoreState &State,
                       const ports::ListedConfiguration &Read) {
  const std::uint64_t Own = versionOf(State);
  if (Read.Version_ < Own)
    return record(State, EventKind::Alarm, "configuration", Read.Version_,
                  ResultCode::StoreBehindFleet, "is older than the one in use");
  if (Read.Version_ == Own)
    return;
  model::ConfigState Next = *State.Log_.State_;
  Next.Version_ = Read.Version_;
  Next.PresetInForce_ = Read.Preset_.Name_;
  Next.Presets_ = {{Read.Preset_.Name_, Read.Preset_}};
  replaceState(State, std::move(Next));
  record(State, EventKind::ChangeApplied, Read.Preset_.Name_, Read.Version_);
}

void takeConfigurationAnswer(CoreState &State,
                             const ports::DirectoryResponse &Answer) {
  DirectoryFeed &Feed = State.Directory_.Configuration_;
  Feed.NextAt_ = State.Now_;
  if (Answer.HistoryGone_) {
    Feed.Revision_ = 0;
    return;
  }
  const bool IsFirst = Feed.Revision_ == 0;
  if (Answer.Configuration_)
    takeConfiguration(State, *Answer.Configuration_);
  else if (IsFirst && versionOf(State) == 0) {
    Feed.NextAt_ = State.Now_ + LastRetry; // nothing was configured so far
    return;
  }
  Feed.Revision_ = std::max(Feed.Revision_, Answer.Revision_);
  if (IsFirst)
    replaceState(State, *State.Log_.State_);
}

// Servers.

void followServers(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  if (!isDueNow(State, Follower.Servers_))
    return;
  DirectoryRequest Request;
  Request.Topic_ = DirectoryTopic::Servers;
  Request.Page_ = Follower.NextPage_;
  const model::TimePoint FirstIssued = Follower.Servers_.Issued_;
  issue(State, Follower.Servers_, std::move(Request));
  if (!Follower.NextPage_.empty())
    Follower.Servers_.Issued_ = FirstIssued; // pages are no snapshot
}

bool isJustBack(const CoreState &State) {
  const auto &Back = State.Directory_.BackAt_;
  return State.Follower_.Away_ || (Back && State.Now_ - *Back < ReturnTime);
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

/// Takes a whole list; true when it differs from the one before.
bool takeList(CoreState &State, std::map<std::string, ListedServer> Read) {
  auto &Listed = State.Directory_.Listed_;
  bool Changed = false;
  for (auto It = Listed.begin(); It != Listed.end();) {
    const bool IsMissing = Read.count(It->first) == 0;
    if (IsMissing && isJustBack(State)) {
      ++It;
      continue;
    }
    if (IsMissing)
      recordDifference(State, &It->second, nullptr);
    Changed = Changed || IsMissing;
    It = IsMissing ? Listed.erase(It) : std::next(It);
  }
  for (auto &[Name, Entry] : Read) {
    const auto Known = Listed.find(Name);
    if (Known != Listed.end() && isSameListing(Known->second, Entry))
      continue;
    recordDifference(State, Known == Listed.end() ? nullptr : &Known->second,
                     &Entry);
    Listed[Name] = std::move(Entry);
    Changed = true;
  }
  return Changed;
}

void takeServersAnswer(CoreState &State,
                       const ports::DirectoryResponse &Answer) {
  DirectoryFollower &Follower = State.Directory_;
  if (Follower.NextPage_.empty()) {
    Follower.Pages_.clear();
    Follower.PagesRevision_ = Answer.Revision_;
  }
  Follower.Pages_.insert(Follower.Pages_.end(), Answer.Servers_.begin(),
                         Answer.Servers_.end());
  Follower.NextPage_ = Answer.Next_;
  if (!Answer.Next_.empty()) {
    Follower.Servers_.NextAt_ = State.Now_;
    return;
  }
  Follower.Servers_.NextAt_ = Follower.Servers_.Issued_ + readPeriod(State);
  if (Follower.PagesRevision_ < Follower.Servers_.Revision_)
    return;
  const bool IsFirst = Follower.Servers_.Revision_ == 0;
  Follower.Servers_.Revision_ = Follower.PagesRevision_;
  std::map<std::string, ListedServer> Read;
  for (ListedServer &Entry : Follower.Pages_)
    Read[Entry.Server_.Name_] = std::move(Entry);
  Follower.Pages_.clear();
  if (takeList(State, std::move(Read)) || IsFirst)
    replaceState(State, *State.Log_.State_);
}

// Members.

void followMembers(CoreState &State) {
  DirectoryFeed &Feed = State.Directory_.Members_;
  if (!isDueNow(State, Feed))
    return;
  DirectoryRequest Request;
  Request.Topic_ = DirectoryTopic::Members;
  if (!State.Directory_.Announced_) {
    Request.Operation_ = DirectoryOperation::Announce;
    Request.Self_ = findMember(State.Members_, State.Members_.Self_)->Member_;
  }
  issue(State, Feed, std::move(Request));
}

void takeMembersAnswer(CoreState &State,
                       const ports::DirectoryResponse &Answer) {
  DirectoryFollower &Follower = State.Directory_;
  if (!Follower.Announced_) {
    Follower.Announced_ = true;
    Follower.Members_.NextAt_ = State.Now_ + State.Settings_.MeetingTime_;
    return;
  }
  Follower.Members_.NextAt_ =
      State.Now_ + jittered(State, State.Settings_.MembersPeriod_);
  State.Settings_.SeedPeers_ = Answer.Members_;
  State.Vms_.EntryVms_ = static_cast<unsigned>(Answer.Members_.size());
  State.Vms_.EntryVmsAt_ = State.Now_;
  State.ViewChanged_ = true;
}

bool isAnswerFor(const DirectoryFeed &Feed, StoreCallId Call) {
  return Call != 0 && Feed.Call_ == Call;
}

/// A call whose answer never came.
void dropOverdue(CoreState &State, DirectoryFeed &Feed, model::Duration Wait) {
  if (Feed.Call_ == 0 || State.Now_ - Feed.Issued_ < Wait + CallTimeout)
    return;
  Feed.Call_ = 0;
  noteFailure(State, Feed);
}

} // namespace

void followDirectory(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  dropOverdue(State, Follower.Configuration_, WatchWait);
  dropOverdue(State, Follower.Servers_, model::Duration::zero());
  dropOverdue(State, Follower.Members_, model::Duration::zero());
  followConfiguration(State);
  followServers(State);
  followMembers(State);
}

void takeDirectoryAnswer(CoreState &State, StoreCallId Call,
                         const ports::DirectoryResponse &Answer) {
  DirectoryFollower &Follower = State.Directory_;
  for (DirectoryFeed *Feed :
       {&Follower.Configuration_, &Follower.Servers_, &Follower.Members_}) {
    if (!isAnswerFor(*Feed, Call))
      continue;
    Feed->Call_ = 0;
    if (Answer.Code_ != ResultCode::Ok)
      return noteFailure(State, *Feed);
    noteSuccess(State, *Feed);
    noteUnreadable(State, Answer.Unreadable_);
    if (Feed == &Follower.Configuration_)
      takeConfigurationAnswer(State, Answer);
    else if (Feed == &Follower.Servers_)
      takeServersAnswer(State, Answer);
    else
      takeMembersAnswer(State, Answer);
    return followDirectory(State);
  }
}

void hurryDirectory(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  for (DirectoryFeed *Feed : {&Follower.Configuration_, &Follower.Servers_}) {
    Feed->Call_ = 0; // an answer from before the pause may be as old
    Feed->NextAt_ = State.Now_;
  }
  Follower.Configuration_.Revision_ = 0;
  Follower.NextPage_.clear();
}

} // namespace cumingauge::control
