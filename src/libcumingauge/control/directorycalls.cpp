#include "control/directorycalls.h"
#include "control/corestate.h"
#include "control/directoryevidence.h"
#include "control/directorylinks.h"
#include <algorithm>
#include <utility>

namespace cumingauge::control {

namespace {

using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryTopic;

/// Longest wait of a watch that the directory allows.
constexpr model::milliseconds WatchWait{30000};
/// A watch without changes that ends this much before its wait was interrupted.
constexpr model::milliseconds EarlyResponseMargin{2000};
constexpr model::milliseconds MinRetryDelay{150};
/// Half of the time in which a backend server whose entry expired during an
/// outage registers again, so that the end of the outage is noticed soon.
constexpr model::milliseconds MaxRetryDelay{1000};
/// Maximum retry delay of a process with links to readers, which call sooner
/// and send an update when the directory responds. With jitter it stays within
/// the 3 s after an outage in which no change has to be in force yet.
constexpr model::milliseconds MaxRetryDelayWithReaders{2400};
constexpr model::seconds CallTimeout{5};
/// Fraction of the leaving bound after which a response counts as lost. Doubles
/// with each call that is not answered, for a directory that is slow.
constexpr double ResponseFraction = 0.4;
constexpr unsigned MaxTimeoutDoublings = 4;
/// Failed calls in a row about one topic after which the directory is pinged
/// until it responds.
constexpr unsigned FailuresUntilAway = 2;
/// Fraction of the time in which a leaving mark must be in force that a process
/// waits between calls, to collect changes. The rest is for the call.
constexpr double PauseFraction = 0.6;
/// PauseFraction of a reader; smaller, since its updates have to be passed on.
constexpr double ReaderPauseFraction = 0.35;

/// Returns the time in which the directory responds, apart from Wait_. Until
/// then nothing shows that the view is complete, so it is short at first.
model::Duration responseTimeout(const CoreState &State,
                                const DirectoryFeed &Feed) {
  if (&Feed == &State.Directory_.Members_)
    return CallTimeout;
  const unsigned Doublings = std::min(Feed.Unanswered_, MaxTimeoutDoublings);
  return std::min<model::Duration>(
      CallTimeout,
      fractionOfLeavingBound(State, ResponseFraction) * (1 << Doublings));
}

void recordFailure(CoreState &State, DirectoryFeed &Feed) {
  recordStoreHealth(State, /*Succeeded=*/false);
  Feed.NextAt_ = State.Now_ + retryDelay(State, ++Feed.Failures_);
}

} // namespace

model::Duration fractionOfLeavingBound(const CoreState &State, double Part) {
  const auto Bound = model::Duration(State.Settings_.LeavingBound_);
  return std::chrono::duration_cast<model::Duration>(Bound * Part);
}

model::Duration callPause(const CoreState &State) {
  return fractionOfLeavingBound(State, isReader(State) ? ReaderPauseFraction
                                                       : PauseFraction);
}

model::Duration retryDelay(CoreState &State, unsigned Failures) {
  const unsigned Doublings = std::min(Failures - 1, 5U);
  const model::Duration Last = hasReaders(State) && !isReader(State)
                                   ? MaxRetryDelayWithReaders
                                   : MaxRetryDelay;
  return jittered(
      State, std::min<model::Duration>(MinRetryDelay * (1 << Doublings), Last));
}

StoreCallId callDirectory(CoreState &State, DirectoryRequest Request) {
  const StoreCallId Call = ++State.LastCall_;
  emitCommand(State, CallDirectory{Call, std::move(Request)});
  return Call;
}

void issueCall(CoreState &State, DirectoryFeed &Feed,
               DirectoryRequest Request) {
  Feed.IssuedAt_ = State.Now_;
  Feed.Wait_ = Request.Wait_;
  Feed.Call_ = callDirectory(State, std::move(Request));
}

bool isDueNow(const CoreState &State, const DirectoryFeed &Feed) {
  return Feed.Call_ == 0 && State.Now_ >= Feed.NextAt_;
}

bool shouldCall(const CoreState &State, const DirectoryFeed &Feed) {
  if (State.Directory_.IsAway_ || !isDueNow(State, Feed))
    return false;
  return Feed.Read_ ? mustCallDirectory(State, Feed) : !waitsForReaders(State);
}

DirectoryRequest nextRequest(const DirectoryFeed &Feed, DirectoryTopic Topic) {
  DirectoryRequest Out;
  Out.Topic_ = Topic;
  if (Feed.Revision_ == 0)
    return Out;
  Out.Operation_ = DirectoryOperation::Watch;
  Out.After_ = Feed.Revision_;
  Out.Wait_ = WatchWait;
  return Out;
}

bool canHaveMissedChanges(const CoreState &State, const DirectoryFeed &Feed,
                          const ports::DirectoryResponse &Response,
                          bool HasChanges) {
  return Response.IsCompacted_ ||
         (Feed.Revision_ > 0 && !HasChanges &&
          State.Now_ - Feed.IssuedAt_ < WatchWait - EarlyResponseMargin);
}

void recordTopicFailure(CoreState &State, DirectoryFeed &Feed) {
  DirectoryFollower &Follower = State.Directory_;
  recordFailure(State, Feed);
  if (&Feed == &Follower.Ping_ || Feed.Failures_ < FailuresUntilAway)
    return;
  Follower.IsAway_ = true;
  Follower.Ping_.NextAt_ = Feed.NextAt_;
}

void recordSuccess(CoreState &State, DirectoryFeed &Feed) {
  recordStoreHealth(State, /*Succeeded=*/true);
  Feed.Failures_ = 0;
}

void dropOverdueCall(CoreState &State, DirectoryFeed &Feed) {
  if (Feed.Call_ == 0 ||
      State.Now_ - Feed.IssuedAt_ < Feed.Wait_ + responseTimeout(State, Feed))
    return;
  Feed.Call_ = 0;
  Feed.Revision_ = 0;
  ++Feed.Unanswered_;
  if (&Feed == &State.Directory_.Servers_)
    State.Directory_.ListRead_.reset();
  if (&Feed == &State.Directory_.Configuration_)
    State.Directory_.ConfigurationRead_.reset();
  recordTopicFailure(State, Feed);
}

} // namespace cumingauge::control
