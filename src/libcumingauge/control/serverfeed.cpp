#include "control/serverfeed.h"
#include "control/configurationfeed.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/serverlist.h"
#include "control/updatesender.h"
#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace cumingauge::control {

using model::EventKind;
using model::ResultCode;
using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryTopic;

namespace {

/// Returns a request for the next page of the read that is under way, or one
/// that begins a read or a watch.
DirectoryRequest nextServersRequest(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  DirectoryRequest Out =
      nextRequest(Follower.Servers_, DirectoryTopic::Servers);
  if (Follower.ListRead_) {
    Out.Page_ = Follower.ListRead_->NextPage_;
    return Out;
  }
  Follower.KnownBefore_ = Follower.KnownRevision_;
  if (Out.Operation_ == DirectoryOperation::Read)
    Follower.ListRead_ = ServerListRead{{}, "", 0, State.Now_};
  return Out;
}

/// Applies a whole list of servers that holds at a revision.
void takeServerList(CoreState &State,
                    const std::map<std::string, ports::ServerEntry> &Read,
                    DirectoryRevision Revision, MissingServers Missing) {
  DirectoryFollower &Follower = State.Directory_;
  if (!Follower.Servers_.Read_ || Revision.Era_ > Follower.FirstRevision_.Era_)
    Follower.FirstRevision_ = Revision;
  // A server may have been added and removed since what was known before.
  if (!Follower.Servers_.Read_ || Follower.AwaitsWholeList_ ||
      Revision > Follower.KnownRevision_)
    Follower.ChangesSince_ = Revision;
  Follower.Servers_.Read_ = true;
  Follower.AwaitsWholeList_ = false;
  advanceKnownRevision(State, Revision);
  applyServerList(State, Read, Missing);
}

/// Records a whole read of the list. The age of its first page shows whether
/// the read was interrupted.
void recordServersRead(CoreState &State, const ServerListRead &Read) {
  const auto Took = std::chrono::duration_cast<model::milliseconds>(
      State.Now_ - Read.RequestedAt_);
  record(State, EventKind::ServersRead, "servers", versionOf(State),
         ResultCode::Ok,
         std::to_string(Read.Entries_.size()) + " servers at revision " +
             std::to_string(Read.Revision_) + ", known up to " +
             std::to_string(State.Directory_.KnownRevision_.Number_) +
             "; first page requested " + std::to_string(Took.count()) +
             " ms ago");
}

/// Returns whether updates of peers have overtaken a response: applying it
/// would undo what they have changed. A response that is older than what was
/// known before its call is no such case: the directory has gone back.
bool isOvertaken(const CoreState &State, std::uint64_t Revision) {
  const DirectoryFollower &Follower = State.Directory_;
  return Follower.KnownRevision_ > Follower.KnownBefore_ &&
         Follower.KnownRevision_ > revisionNow(State, Revision);
}

/// Adds a page of the list and applies the list when it is whole.
/// \returns whether it was applied.
bool handleServerPage(CoreState &State,
                      const ports::DirectoryResponse &Response) {
  DirectoryFollower &Follower = State.Directory_;
  const bool IsWhole = addServerPage(*Follower.ListRead_, Response);
  if (isOvertaken(State, Follower.ListRead_->Revision_)) {
    Follower.ListRead_.reset();
    return false;
  }
  if (!IsWhole)
    return false;
  const ServerListRead Read = *std::exchange(Follower.ListRead_, std::nullopt);
  // Pages are not read at one revision, so the watch starts at the revision of
  // the first page and covers what changed meanwhile.
  Follower.Servers_.Revision_ = Read.Revision_;
  Follower.Servers_.ConfirmedAt_ =
      std::max(Follower.Servers_.ConfirmedAt_, Read.RequestedAt_);
  recordServersRead(State, Read);
  takeServerList(State, Read.Entries_, revisionNow(State, Read.Revision_),
                 MissingServers::KeepAfterOutage);
  // While missing servers may still register again, the next call reads the
  // list once more.
  if (isOutageJustOver(State))
    Follower.Servers_.Revision_ = 0;
  rebuildState(State, *State.Log_.State_);
  return true;
}

/// Applies the events of a watch, unless updates of peers have overtaken them.
/// \returns whether they were applied.
bool handleServerEvents(CoreState &State,
                        const ports::DirectoryResponse &Response) {
  DirectoryFeed &Feed = State.Directory_.Servers_;
  if (isOvertaken(State, Response.Revision_))
    return false;
  Feed.Revision_ = std::max(Feed.Revision_, Response.Revision_);
  Feed.ConfirmedAt_ = std::max(Feed.ConfirmedAt_, Feed.IssuedAt_);
  applyServerChanges(State, Response.Servers_,
                     revisionNow(State, Feed.Revision_));
  return true;
}

} // namespace

void followServers(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  if (Follower.Servers_.Call_ != 0)
    return;
  // Pages that were read before a pause of the calls may be outdated.
  if (!shouldCall(State, Follower.Servers_))
    return Follower.ListRead_.reset();
  issueCall(State, Follower.Servers_, nextServersRequest(State));
}

void handleServersResponse(CoreState &State,
                           const ports::DirectoryResponse &Response) {
  DirectoryFollower &Follower = State.Directory_;
  DirectoryFeed &Feed = Follower.Servers_;
  Feed.NextAt_ = State.Now_;
  const bool HasChanges = !Response.Servers_.empty();
  if (canHaveMissedChanges(State, Feed, Response, HasChanges)) {
    Feed.Revision_ = 0;
    return;
  }
  const bool IsRead = Follower.ListRead_.has_value();
  if (IsRead ? !handleServerPage(State, Response)
             : !handleServerEvents(State, Response))
    return;
  if (HasChanges || IsRead)
    Feed.NextAt_ = State.Now_ + callPause(State);
  Feed.Read_ = true;
  sendDirectoryUpdates(State);
}

void applyServerChanges(CoreState &State,
                        const std::vector<ports::ServerEntry> &Entries,
                        DirectoryRevision Revision) {
  DirectoryFollower &Follower = State.Directory_;
  advanceKnownRevision(State, Revision);
  if (Follower.Servers_.Revision_ > 0)
    Follower.Servers_.Revision_ = Follower.KnownRevision_.Number_;
  if (applyServerEntries(State, Entries))
    rebuildState(State, *State.Log_.State_);
}

void applyCompleteList(CoreState &State,
                       const std::vector<ports::ServerEntry> &Entries,
                       DirectoryRevision Revision) {
  std::map<std::string, ports::ServerEntry> Read;
  for (const ports::ServerEntry &Entry : Entries)
    if (Entry.Listed_)
      Read[Entry.Name_] = Entry;
  // The peer has kept the servers that may still register again.
  takeServerList(State, Read, Revision, MissingServers::Remove);
  rebuildState(State, *State.Log_.State_);
}

} // namespace cumingauge::control
