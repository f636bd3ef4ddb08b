#include "control/directoryfollower.h"
#include "control/configurationfeed.h"
#include "control/corestate.h"
#include "control/credit.h"
#include "control/directorycalls.h"
#include "control/directorylinks.h"
#include "control/directorypolls.h"
#include "control/memberfeed.h"
#include "control/serverfeed.h"
#include "control/storefollower.h"

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::ResultCode;
using ports::DirectoryResponse;

void recordUnreadable(CoreState &State, const model::Problems &Found) {
  for (const model::Problem &Problem : Found)
    record(State, EventKind::Alarm, Problem.Path_, versionOf(State),
           ResultCode::StoreAnswerInvalid, Problem.Message_);
}

bool isResponseTo(const DirectoryFeed &Feed, StoreCallId Call) {
  return Call != 0 && Feed.Call_ == Call;
}

/// Records the failure of the call of a topic. A watch that failed may have
/// missed changes, so the next call reads the whole topic.
void handleFailure(CoreState &State, DirectoryFeed &Feed) {
  DirectoryFollower &Follower = State.Directory_;
  Feed.Revision_ = 0;
  if (&Feed == &Follower.Servers_)
    Follower.ListRead_.reset();
  if (&Feed == &Follower.Configuration_)
    Follower.ConfigurationRead_.reset();
  recordTopicFailure(State, Feed);
}

/// Handles a successful response to the call of a topic, or to a ping.
void handleSuccess(CoreState &State, DirectoryFeed &Feed,
                   const DirectoryResponse &Response) {
  const DirectoryFollower &Follower = State.Directory_;
  recordSuccess(State, Feed);
  if (&Feed == &Follower.Configuration_)
    handleConfigurationResponse(State, Response);
  else if (&Feed == &Follower.Servers_)
    handleServersResponse(State, Response);
  else if (&Feed == &Follower.Members_)
    handleMembersResponse(State, Response);
  else
    handlePingResponse(State);
}

} // namespace

void followDirectory(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  for (DirectoryFeed *Feed : {&Follower.Configuration_, &Follower.Servers_,
                              &Follower.Members_, &Follower.Ping_})
    dropOverdueCall(State, *Feed);
  const bool DeparturesExpired = expireDepartures(State);
  if (finishZoneReturns(State) || DeparturesExpired)
    rebuildState(State, *State.Log_.State_);
  followMembers(State);
  maintainDirectoryLinks(State);
  followConfiguration(State);
  followServers(State);
  pollDirectory(State);
}

void handleDirectoryResponse(CoreState &State, StoreCallId Call,
                             const DirectoryResponse &Response) {
  DirectoryFollower &Follower = State.Directory_;
  DirectoryResponse Taken = Response;
  if (!observeEra(State, Response))
    Taken.Code_ = ResultCode::StoreAnswerInvalid;
  if (Taken.Code_ == ResultCode::Ok)
    recordUnreadable(State, Taken.Unreadable_);
  if (handlePollResponse(State, Call, Taken))
    return followDirectory(State);
  if (handleCreditResponse(State, Call, Taken))
    return;
  for (DirectoryFeed *Feed : {&Follower.Configuration_, &Follower.Servers_,
                              &Follower.Members_, &Follower.Ping_}) {
    if (!isResponseTo(*Feed, Call))
      continue;
    Feed->Call_ = 0;
    Feed->Unanswered_ = 0;
    if (Taken.Code_ != ResultCode::Ok)
      return handleFailure(State, *Feed);
    handleSuccess(State, *Feed, Taken);
    return followDirectory(State);
  }
}

void rereadDirectory(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  for (DirectoryFeed *Feed : {&Follower.Configuration_, &Follower.Servers_}) {
    Feed->Call_ = 0; // a response from before the pause may be outdated
    Feed->Poll_ = DirectoryPoll();
    Feed->NextAt_ = State.Now_;
    Feed->Revision_ = 0;
    Feed->PeerConfirmedAt_.reset();
  }
  Follower.IsAway_ = false;
  Follower.ListRead_.reset();
  Follower.ConfigurationRead_.reset();
}

} // namespace cumingauge::control
