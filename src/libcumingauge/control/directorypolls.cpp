#include "control/directorypolls.h"
#include "control/configurationfeed.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directoryevidence.h"
#include "control/directorylinks.h"
#include "control/evacuations.h"
#include "control/serverfeed.h"
#include "control/updatesender.h"
#include <algorithm>
#include <utility>

namespace cumingauge::control {

namespace {

using model::ResultCode;
using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryResponse;
using ports::DirectoryTopic;

/// Fraction of the leaving bound after which a topic is to be confirmed again.
/// The rest is for a poll that is lost and repeated.
constexpr double ConfirmFraction = 0.5;
/// ConfirmFraction of a reader; smaller, so that its updates reach the other
/// processes well before they count as missing.
constexpr double ReaderConfirmFraction = 0.35;
/// Fraction of the leaving bound within which a watch is answered for which
/// there are changes already.
constexpr double AnswerFraction = 0.1;
/// Fraction of the leaving bound after which a poll counts as unanswered and is
/// repeated. Doubles with each unanswered poll, for a directory that is slow.
constexpr double ResponseFraction = 0.2;
constexpr unsigned MaxDoublings = 4;
/// The polled topics. A response about the servers often confirms the
/// configuration as well, so the servers come first.
constexpr DirectoryTopic PolledTopics[] = {DirectoryTopic::Servers,
                                           DirectoryTopic::Configuration};

DirectoryFeed &feedOf(CoreState &State, DirectoryTopic Topic) {
  return Topic == DirectoryTopic::Servers ? State.Directory_.Servers_
                                          : State.Directory_.Configuration_;
}

/// Returns whether a watch waits for changes. One that was issued a moment ago
/// shows itself what has changed.
bool isWatchWaiting(const CoreState &State, const DirectoryFeed &Feed) {
  return Feed.Revision_ > 0 && Feed.Call_ != 0 &&
         State.Now_ - Feed.IssuedAt_ >=
             fractionOfLeavingBound(State, AnswerFraction);
}

/// Returns whether the topic was not confirmed for too long.
bool needsConfirmation(const CoreState &State, const DirectoryFeed &Feed) {
  const double Part = isReader(State) ? ReaderConfirmFraction : ConfirmFraction;
  return Feed.Read_ && isWatchWaiting(State, Feed) &&
         mustCallDirectory(State, Feed) &&
         State.Now_ - Feed.ConfirmedAt_ >= fractionOfLeavingBound(State, Part);
}

void issuePoll(CoreState &State, DirectoryTopic Topic) {
  DirectoryFeed &Feed = feedOf(State, Topic);
  DirectoryRequest Request;
  Request.Operation_ = DirectoryOperation::Poll;
  Request.Topic_ = Topic;
  Request.After_ = Feed.Revision_;
  Feed.Poll_.After_ = Feed.Revision_;
  Feed.Poll_.IssuedAt_ = State.Now_;
  Feed.Poll_.Call_ = callDirectory(State, std::move(Request));
}

void recordPollFailure(CoreState &State, DirectoryFeed &Feed) {
  recordTopicFailure(State, Feed);
  Feed.Poll_.NextAt_ = Feed.NextAt_;
}

/// Gives up a poll whose response is overdue. The first time it is repeated at
/// once, as only its response may be lost.
void dropUnansweredPoll(CoreState &State, DirectoryFeed &Feed) {
  DirectoryPoll &Poll = Feed.Poll_;
  const unsigned Doublings = std::min(Poll.Unanswered_, MaxDoublings);
  const model::Duration Wait =
      fractionOfLeavingBound(State, ResponseFraction) * (1 << Doublings);
  if (Poll.Call_ == 0 || State.Now_ - Poll.IssuedAt_ < Wait)
    return;
  Poll.Call_ = 0;
  if (Poll.Unanswered_++ > 0)
    return recordPollFailure(State, Feed);
  Poll.NextAt_ = State.Now_;
}

void pollTopics(CoreState &State) {
  for (const DirectoryTopic Topic : PolledTopics)
    dropUnansweredPoll(State, feedOf(State, Topic));
  if (State.Directory_.IsAway_)
    return;
  for (const DirectoryTopic Topic : PolledTopics) {
    const DirectoryFeed &Feed = feedOf(State, Topic);
    if (Feed.Poll_.Call_ != 0)
      return;
    if (!needsConfirmation(State, Feed))
      continue;
    if (State.Now_ >= Feed.Poll_.NextAt_)
      issuePoll(State, Topic);
    return;
  }
}

/// Returns whether no peer keeps this process informed about a topic.
bool reliesOnDirectory(const CoreState &State) {
  const DirectoryFollower &Follower = State.Directory_;
  return mustCallDirectory(State, Follower.Servers_) ||
         mustCallDirectory(State, Follower.Configuration_);
}

void pingDirectory(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  const bool MustPing =
      Follower.IsAway_ &&
      (reliesOnDirectory(State) || isDueNow(State, Follower.Members_));
  if (!MustPing || !isDueNow(State, Follower.Ping_))
    return;
  DirectoryRequest Request;
  Request.Operation_ = DirectoryOperation::Ping;
  issueCall(State, Follower.Ping_, std::move(Request));
}

/// Makes the next call read the whole topic, since changes may be missing.
void readAgain(CoreState &State, DirectoryFeed &Feed) {
  Feed.Call_ = 0;
  Feed.Revision_ = 0;
  Feed.NextAt_ = State.Now_;
}

/// Gives up the watch that should have reported the changes of a poll.
void replaceWatch(CoreState &State, DirectoryFeed &Feed) {
  if (std::exchange(Feed.Call_, 0) != 0)
    Feed.NextAt_ = State.Now_ + callPause(State);
}

/// Applies the changes of a poll, unless they are known already.
void applyPolledChanges(CoreState &State, DirectoryFeed &Feed,
                        const DirectoryResponse &Response) {
  const bool HasChanges =
      hasOperatorChanges(Response) || !Response.Servers_.empty();
  if (!HasChanges || Response.Revision_ <= Feed.Revision_)
    return;
  replaceWatch(State, Feed);
  applyOperatorChanges(State, Response);
  if (!Response.Servers_.empty())
    applyServerChanges(State, Response.Servers_,
                       revisionNow(State, Response.Revision_));
}

void handlePoll(CoreState &State, DirectoryFeed &Feed,
                const DirectoryResponse &Response) {
  DirectoryPoll &Poll = Feed.Poll_;
  if (Response.Code_ != ResultCode::Ok)
    return recordPollFailure(State, Feed);
  recordSuccess(State, Feed);
  Poll.Unanswered_ = 0;
  if (Feed.Revision_ == 0)
    return;
  if (Response.IsCompacted_ || Response.Revision_ < Poll.After_)
    return readAgain(State, Feed);
  applyPolledChanges(State, Feed, Response);
  if (&Feed == &State.Directory_.Configuration_)
    applyZoneChanges(State, {}, revisionNow(State, Response.Revision_));
  Feed.Revision_ = std::max(Feed.Revision_, Response.Revision_);
  recordEvidence(State, Response.Revision_, Poll.IssuedAt_);
  sendDirectoryUpdates(State);
}

} // namespace

void recordEvidence(CoreState &State, std::uint64_t Revision,
                    model::TimePoint At) {
  for (const DirectoryTopic Topic : PolledTopics) {
    DirectoryFeed &Feed = feedOf(State, Topic);
    if (Feed.Revision_ > 0 && Feed.Revision_ >= Revision)
      Feed.ConfirmedAt_ = std::max(Feed.ConfirmedAt_, At);
  }
}

void pollDirectory(CoreState &State) {
  pollTopics(State);
  pingDirectory(State);
}

bool handlePollResponse(CoreState &State, StoreCallId Call,
                        const DirectoryResponse &Response) {
  for (const DirectoryTopic Topic : PolledTopics) {
    DirectoryFeed &Feed = feedOf(State, Topic);
    if (Feed.Poll_.Call_ == 0 || Feed.Poll_.Call_ != Call)
      continue;
    Feed.Poll_.Call_ = 0;
    handlePoll(State, Feed, Response);
    return true;
  }
  return false;
}

void handlePingResponse(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  Follower.Ping_.NextAt_ = State.Now_;
  Follower.IsAway_ = false;
  for (DirectoryFeed *Feed :
       {&Follower.Configuration_, &Follower.Servers_, &Follower.Members_}) {
    if (Feed->Failures_ > 0)
      Feed->NextAt_ = State.Now_;
    Feed->Poll_.NextAt_ = State.Now_;
  }
}

} // namespace cumingauge::control
