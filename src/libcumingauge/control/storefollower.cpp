#include "control/storefollower.h"
#include "control/corestate.h"
#include "control/fold.h"
#include "control/gossip.h"
#include "control/linkchoice.h"
#include "control/storecodec.h"
#include "control/storekeys.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using Activity = StoreFollower::Activity;
using model::EventKind;
using model::ResultCode;
using ports::StoreOperation;

/// Time at start to wait for a peer's state before the store is read.
constexpr model::milliseconds PeerStateWait{500};
constexpr model::seconds VerifyPeriod{30};
/// Time after the longest wait at which a response is overdue.
constexpr model::seconds OverdueMargin{10};
/// Wait of a watch while there are no peers. An exchange counts from the time
/// of the call, so two of these waits must fit into the limit on the age of the
/// view.
constexpr model::milliseconds WatchWaitWithoutPeers{500};
constexpr model::milliseconds MinRetryDelay{200};
constexpr model::seconds MaxRetryDelay{5};
/// Shorter for a process that watches, so that a change accepted right after an
/// outage is in force in time.
constexpr model::seconds MaxRetryDelayOfWatcher{2};
constexpr model::seconds ReloadInterval{10};
constexpr model::seconds BehindAlarmInterval{60};
constexpr unsigned FailuresUntilUnreachable = 2;
/// Fleet size above which a process that does not watch polls less often, so
/// that the fleet's calls per second stay the same.
constexpr unsigned MaxFleetAtFullRate = 8;

/// Returns true while the next entry cannot have been compacted away since the
/// end of the log was last seen, so that the value at its key is the original.
bool wasEndSeenRecently(const CoreState &State) {
  return !isDue(State.Follower_.EndSeenAt_, State.Settings_.EntryRetention_ / 2,
                State.Now_);
}

model::Duration pollPeriod(const CoreState &State) {
  const model::Duration Period = State.Settings_.StorePollPeriod_;
  return Period * std::max(1U, fleetSize(State) / MaxFleetAtFullRate);
}

ports::StoreRequest getEntry(std::uint64_t Version) {
  ports::StoreRequest Out;
  Out.Operation_ = StoreOperation::Get;
  Out.Key_ = entryKey(Version);
  return Out;
}

void issueCall(CoreState &State, Activity What, ports::StoreRequest Request) {
  StoreFollower &Follower = State.Follower_;
  Follower.Activity_ = What;
  Follower.RequestedVersion_ = versionOf(State);
  Follower.IssuedAt_ = State.Now_;
  Follower.Call_ = callStore(State, std::move(Request));
}

/// Reads the snapshot pointer and the entries after the own state, or
/// everything when there is no state or its contents are in doubt.
void startLoading(CoreState &State) {
  State.Follower_.Reader_ = StateReader();
  if (State.Confirmed_ && !State.Follower_.NeedsReload_)
    State.Follower_.Reader_.State_ = *State.Log_.State_;
  issueCall(State, Activity::Loading, *nextRequest(State.Follower_.Reader_));
}

void startReading(CoreState &State) {
  ports::StoreRequest Request = getEntry(versionOf(State) + 1);
  // A watch would delay the first exchange after a start or a pause, and calls
  // by callers wait for that exchange.
  if (isWatcher(State) && State.LastExchange_) {
    Request.Operation_ = StoreOperation::Watch;
    Request.Wait_ = peerLinks(State.Links_).empty()
                        ? WatchWaitWithoutPeers
                        : State.Settings_.StorePollPeriod_;
  }
  issueCall(State, Activity::Reading, std::move(Request));
}

void scheduleNextCall(CoreState &State, model::Duration Wait) {
  State.Follower_.Activity_ = Activity::Idle;
  State.Follower_.NextAt_ = State.Now_ + Wait;
}

void recordFailure(CoreState &State) {
  recordStoreHealth(State, /*Succeeded=*/false);
  const unsigned Doublings = std::min(State.Follower_.Failures_ - 1, 5U);
  const model::Duration Last =
      isWatcher(State) ? MaxRetryDelayOfWatcher : MaxRetryDelay;
  scheduleNextCall(
      State, jittered(State, std::min<model::Duration>(
                                 MinRetryDelay * (1 << Doublings), Last)));
}

/// Records that nothing was newer in the store when the call was made.
void recordCaughtUp(CoreState &State) {
  const model::TimePoint At = State.Follower_.IssuedAt_;
  State.Follower_.EndSeenAt_ = At;
  if (State.PauseEndedAt_ && At < *State.PauseEndedAt_)
    return;
  if (!State.LastExchange_ || *State.LastExchange_ < At)
    State.LastExchange_ = At;
}

void recordConfirmed(CoreState &State) {
  State.Follower_.VerifiedAt_ = State.Now_;
  if (State.Confirmed_)
    return;
  State.Confirmed_ = true;
  State.ViewChanged_ = true;
}

void reportBehind(CoreState &State, std::uint64_t StoreVersion) {
  if (!isDue(State.BehindAt_, BehindAlarmInterval, State.Now_))
    return;
  State.BehindAt_ = State.Now_;
  record(State, EventKind::Alarm, "store", versionOf(State),
         ResultCode::StoreBehindFleet,
         "store is behind: it ends at version " + std::to_string(StoreVersion));
}

bool continuesOwnState(const CoreState &State,
                       const std::vector<model::Change> &Entries) {
  const model::ConfigState &Own = *State.Log_.State_;
  return std::any_of(Entries.begin(), Entries.end(),
                     [&](const model::Change &Entry) {
                       return Entry.Version_ == Own.Version_ + 1 &&
                              Entry.BasisDigest_ == Own.LogDigest_;
                     });
}

/// Compares a state loaded from the store with the own one and installs it
/// unless it is older.
void finishLoading(CoreState &State) {
  StateReader &Reader = State.Follower_.Reader_;
  const std::uint64_t Version = Reader.State_.Version_;
  const std::uint64_t Own = versionOf(State);
  State.Follower_.NeedsReload_ = false;
  if (Version < Own) {
    if (Version < State.Follower_.RequestedVersion_)
      reportBehind(State, Version);
    scheduleNextCall(State, ReloadInterval);
    return;
  }
  if (Version == Own && Own > 0 &&
      Reader.State_.LogDigest_ != State.Log_.State_->LogDigest_)
    reportDisagreement(State, "store", Own);
  if (continuesOwnState(State, Reader.Entries_))
    applyEntries(State, Reader.Entries_, std::nullopt);
  applyState(State, std::move(Reader.State_), Reader.Entries_, "store");
  Reader = StateReader();
  State.Follower_.NeedsReload_ = false;
  State.HasState_ = true;
  State.ViewChanged_ = true;
  recordCaughtUp(State);
  recordConfirmed(State);
  scheduleNextCall(State, model::Duration::zero());
}

void handleLoadResponse(CoreState &State,
                        const ports::StoreResponse &Response) {
  StateReader &Reader = State.Follower_.Reader_;
  handleResponse(Reader, Response);
  if (const auto Request = nextRequest(Reader)) {
    const std::uint64_t Asked = State.Follower_.RequestedVersion_;
    issueCall(State, Activity::Loading, *Request);
    State.Follower_.RequestedVersion_ = Asked;
    return;
  }
  if (Reader.Phase_ == StateReader::Phase::Done) {
    finishLoading(State);
    return;
  }
  record(State, EventKind::Alarm, "store", Reader.State_.Version_ + 1,
         Reader.Reason_, "holds a value that cannot be read");
  scheduleNextCall(State, ReloadInterval);
}

/// Compares the store's copy of the own latest entry with the log digest.
void handleVerifyResponse(CoreState &State,
                          const ports::StoreResponse &Response) {
  StoreFollower &Follower = State.Follower_;
  scheduleNextCall(State, model::Duration::zero());
  if (!Response.Found_) {
    Follower.NeedsReload_ = true; // compacted, or the store lost entries
    Follower.VerifiedAt_ = State.Now_;
    return;
  }
  const auto Entry = decodeChange(Response.Value_);
  if (versionOf(State) != Follower.RequestedVersion_)
    return; // a newer entry was applied meanwhile; verified again at once
  if (Entry && digestAfter(*Entry) == State.Log_.State_->LogDigest_) {
    recordConfirmed(State);
    return;
  }
  Follower.VerifiedAt_ = State.Now_;
  reportDisagreement(State, "store", Follower.RequestedVersion_);
}

void handleNextEntry(CoreState &State, const ports::StoreResponse &Response) {
  const auto Entry = decodeChange(Response.Value_);
  if (!Entry || Entry->Version_ != State.Follower_.RequestedVersion_ + 1) {
    record(
        State, EventKind::Alarm, "store", State.Follower_.RequestedVersion_ + 1,
        ResultCode::StoreAnswerInvalid, "holds an entry that cannot be read");
    scheduleNextCall(State, ReloadInterval);
    return;
  }
  applyEntries(State, {*Entry}, std::nullopt);
  scheduleNextCall(State, model::Duration::zero());
}

void handleReadResponse(CoreState &State,
                        const ports::StoreResponse &Response) {
  if (Response.Found_) {
    handleNextEntry(State, Response);
    return;
  }
  recordCaughtUp(State);
  scheduleNextCall(State, isWatcher(State)
                              ? model::Duration::zero()
                              : jittered(State, pollPeriod(State)));
}

bool isOverdue(const CoreState &State) {
  return State.Now_ - State.Follower_.IssuedAt_ >=
         State.Settings_.StorePollPeriod_ + OverdueMargin;
}

} // namespace

bool isWatcher(const CoreState &State) {
  if (peerLinks(State.Links_).empty())
    return true;
  std::vector<const model::Member *> Zone;
  for (const model::Member *Peer : livePeers(State))
    if (Peer->Zone_ == State.Settings_.Self_.Zone_)
      Zone.push_back(Peer);
  return ranksAmongFirst(State.Settings_.Self_, Zone, "watch",
                         State.Settings_.WatchersPerZone_);
}

void recordStoreHealth(CoreState &State, bool Succeeded) {
  StoreFollower &Follower = State.Follower_;
  Follower.Failures_ = Succeeded ? 0 : Follower.Failures_ + 1;
  const bool IsUnreachable = Follower.Failures_ >= FailuresUntilUnreachable;
  if (IsUnreachable == Follower.IsUnreachable_ ||
      (!Succeeded && !IsUnreachable))
    return;
  Follower.IsUnreachable_ = IsUnreachable;
  State.ViewChanged_ = true;
  record(State, IsUnreachable ? EventKind::StoreAway : EventKind::StoreBack,
         "store", versionOf(State),
         IsUnreachable ? ResultCode::StoreUnavailable : ResultCode::Ok);
}

void followStore(CoreState &State) {
  StoreFollower &Follower = State.Follower_;
  if (Follower.Activity_ != Activity::Idle) {
    if (isOverdue(State))
      recordFailure(State);
    return;
  }
  if (State.Now_ < Follower.NextAt_)
    return;
  const bool HasPeerState = State.HasState_ && versionOf(State) > 0;
  if (!State.Settings_.SeedPeers_.empty() && !HasPeerState &&
      State.Now_ - *State.StartedAt_ < PeerStateWait)
    return;
  if (Follower.NeedsReload_ || !State.HasState_ ||
      (!wasEndSeenRecently(State) && State.Confirmed_))
    startLoading(State);
  else if (versionOf(State) > 0 &&
           (!State.Confirmed_ ||
            isDue(Follower.VerifiedAt_, VerifyPeriod, State.Now_)))
    issueCall(State, Activity::Verifying, getEntry(versionOf(State)));
  else
    startReading(State);
}

bool handleStoreResponse(CoreState &State, StoreCallId Call,
                         const ports::StoreResponse &Response) {
  StoreFollower &Follower = State.Follower_;
  if (Call != Follower.Call_ || Follower.Activity_ == Activity::Idle)
    return false;
  const Activity Was = Follower.Activity_;
  if (Response.Code_ != ResultCode::Ok) {
    recordFailure(State);
    return true;
  }
  recordStoreHealth(State, /*Succeeded=*/true);
  if (Was == Activity::Loading)
    handleLoadResponse(State, Response);
  else if (Was == Activity::Verifying)
    handleVerifyResponse(State, Response);
  else
    handleReadResponse(State, Response);
  return true;
}

void pollStoreNow(CoreState &State) {
  StoreFollower &Follower = State.Follower_;
  if (Follower.Activity_ == Activity::Idle && !Follower.IsUnreachable_)
    Follower.NextAt_ = State.Now_;
}

void restartStoreFollower(CoreState &State) {
  // The call in flight may have been answered before the pause.
  State.Follower_.Activity_ = Activity::Idle;
  State.Follower_.NextAt_ = State.Now_;
}

void requestReload(CoreState &State) { State.Follower_.NeedsReload_ = true; }

} // namespace cumingauge::control
