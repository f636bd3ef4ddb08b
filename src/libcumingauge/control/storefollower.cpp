#include "control/storefollower.h"
#include "control/corestate.h"
#include "control/fold.h"
#include "control/linkchoice.h"
#include "control/spreading.h"
#include "control/storecodec.h"
#include "control/storekeys.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using Activity = StoreFollower::Activity;
using model::EventKind;
using model::ResultCode;
using ports::StoreOperation;

constexpr model::milliseconds PeersFirst{500}; ///< wait for a peer's state
constexpr model::seconds VerifyPeriod{30};
constexpr model::seconds WatchMargin{10}; ///< answer overdue after the wait
/// An exchange counts from the moment of the call, so two of these must fit
/// into the limit on the age of the view.
constexpr model::milliseconds WatchWithoutPeers{500};
constexpr model::milliseconds FirstRetry{200};
constexpr model::seconds LastRetry{5};
/// A change accepted right after an outage must still be in time.
constexpr model::seconds LastRetryOfWatcher{2};
constexpr model::seconds ReloadInterval{10};
constexpr model::seconds BehindInterval{60};
constexpr unsigned FailuresUntilAway = 2;
/// Beyond this size of the fleet a process that does not watch polls less
/// often, so that the fleet's calls per second stay the same.
constexpr unsigned FleetAtFullRate = 8;

/// True while the next entry cannot have been compacted away since the end of
/// the log was seen last, so that what stands at its key is the original.
bool isPositionKnown(const CoreState &State) {
  return !isDue(State.Follower_.PositionAt_, State.Settings_.EntryHold_ / 2,
                State.Now_);
}

model::Duration pollPeriod(const CoreState &State) {
  const model::Duration Period = State.Settings_.StorePollPeriod_;
  return Period * std::max(1U, fleetSize(State) / FleetAtFullRate);
}

ports::StoreRequest getEntry(std::uint64_t Version) {
  ports::StoreRequest Out;
  Out.Operation_ = StoreOperation::Get;
  Out.Key_ = entryKey(Version);
  return Out;
}

void issue(CoreState &State, Activity What, ports::StoreRequest Request) {
  StoreFollower &Follower = State.Follower_;
  Follower.Activity_ = What;
  Follower.AskedVersion_ = versionOf(State);
  Follower.Issued_ = State.Now_;
  Follower.Call_ = callStore(State, std::move(Request));
}

/// Reads the pointer and what follows the own state, or all of it when there
/// is no state or its content is in doubt.
void startLoading(CoreState &State) {
  State.Follower_.Reader_ = StateReader();
  if (State.Confirmed_ && !State.Follower_.LoadWanted_)
    State.Follower_.Reader_.State_ = *State.Log_.State_;
  issue(State, Activity::Loading, *nextRequest(State.Follower_.Reader_));
}

void startReading(CoreState &State) {
  ports::StoreRequest Request = getEntry(versionOf(State) + 1);
  // A watch would hold back the first exchange after a start or a pause, for
  // which calls wait.
  if (isWatcher(State) && State.LastExchange_) {
    Request.Operation_ = StoreOperation::Watch;
    Request.Wait_ = peerLinks(State.Links_).empty()
                        ? WatchWithoutPeers
                        : State.Settings_.StorePollPeriod_;
  }
  issue(State, Activity::Reading, std::move(Request));
}

void beIdleFor(CoreState &State, model::Duration Wait) {
  State.Follower_.Activity_ = Activity::Idle;
  State.Follower_.NextAt_ = State.Now_ + Wait;
}

void noteFailure(CoreState &State) {
  noteStoreHealth(State, /*Works=*/false);
  const unsigned Doublings = std::min(State.Follower_.Failures_ - 1, 5U);
  const model::Duration Last =
      isWatcher(State) ? LastRetryOfWatcher : LastRetry;
  beIdleFor(State, jittered(State, std::min<model::Duration>(
                                       FirstRetry * (1 << Doublings), Last)));
}

/// The store has shown that nothing was newer when the call was made.
void noteCaughtUp(CoreState &State) {
  const model::TimePoint At = State.Follower_.Issued_;
  State.Follower_.PositionAt_ = At;
  if (State.PauseEndedAt_ && At < *State.PauseEndedAt_)
    return;
  if (!State.LastExchange_ || *State.LastExchange_ < At)
    State.LastExchange_ = At;
}

void noteConfirmed(CoreState &State) {
  State.Follower_.VerifiedAt_ = State.Now_;
  if (State.Confirmed_)
    return;
  State.Confirmed_ = true;
  State.ViewChanged_ = true;
}

void noteBehind(CoreState &State, std::uint64_t StoreVersion) {
  if (!isDue(State.BehindAt_, BehindInterval, State.Now_))
    return;
  State.BehindAt_ = State.Now_;
  record(State, EventKind::Alarm, "store", versionOf(State),
         ResultCode::StoreBehindFleet,
         "store ends at version " + std::to_string(StoreVersion));
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

/// Compares a state read from the store with the own one.
void concludeLoading(CoreState &State) {
  StateReader &Reader = State.Follower_.Reader_;
  const std::uint64_t Version = Reader.State_.Version_;
  const std::uint64_t Own = versionOf(State);
  State.Follower_.LoadWanted_ = false;
  if (Version < Own) {
    if (Version < State.Follower_.AskedVersion_)
      noteBehind(State, Version);
    beIdleFor(State, ReloadInterval);
    return;
  }
  if (Version == Own && Own > 0 &&
      Reader.State_.LogDigest_ != State.Log_.State_->LogDigest_)
    noteDisagreement(State, "store", Own);
  if (continuesOwnState(State, Reader.Entries_))
    takeEntries(State, Reader.Entries_, std::nullopt);
  takeState(State, std::move(Reader.State_), Reader.Entries_, "store");
  Reader = StateReader();
  State.Follower_.LoadWanted_ = false;
  State.HasState_ = true;
  State.ViewChanged_ = true;
  noteCaughtUp(State);
  noteConfirmed(State);
  beIdleFor(State, model::Duration::zero());
}

void takeLoadAnswer(CoreState &State, const ports::StoreResponse &Answer) {
  StateReader &Reader = State.Follower_.Reader_;
  takeAnswer(Reader, Answer);
  if (const auto Request = nextRequest(Reader)) {
    const std::uint64_t Asked = State.Follower_.AskedVersion_;
    issue(State, Activity::Loading, *Request);
    State.Follower_.AskedVersion_ = Asked;
    return;
  }
  if (Reader.Phase_ == StateReader::Phase::Done) {
    concludeLoading(State);
    return;
  }
  record(State, EventKind::Alarm, "store", Reader.State_.Version_ + 1,
         Reader.Reason_, "holds a value that cannot be read");
  beIdleFor(State, ReloadInterval);
}

/// The store's copy of the own latest entry has come.
void takeVerifyAnswer(CoreState &State, const ports::StoreResponse &Answer) {
  StoreFollower &Follower = State.Follower_;
  beIdleFor(State, model::Duration::zero());
  if (!Answer.Found_) {
    Follower.LoadWanted_ = true; // compacted, or the store lost entries
    Follower.VerifiedAt_ = State.Now_;
    return;
  }
  const auto Entry = decodeChange(Answer.Value_);
  if (versionOf(State) != Follower.AskedVersion_)
    return; // moved on meanwhile; asked again at once
  if (Entry && digestAfter(*Entry) == State.Log_.State_->LogDigest_) {
    noteConfirmed(State);
    return;
  }
  Follower.VerifiedAt_ = State.Now_;
  noteDisagreement(State, "store", Follower.AskedVersion_);
}

void takeNextEntry(CoreState &State, const ports::StoreResponse &Answer) {
  const auto Entry = decodeChange(Answer.Value_);
  if (!Entry || Entry->Version_ != State.Follower_.AskedVersion_ + 1) {
    record(State, EventKind::Alarm, "store", State.Follower_.AskedVersion_ + 1,
           ResultCode::StoreAnswerInvalid,
           "holds an entry that cannot be read");
    beIdleFor(State, ReloadInterval);
    return;
  }
  takeEntries(State, {*Entry}, std::nullopt);
  beIdleFor(State, model::Duration::zero());
}

void takeReadAnswer(CoreState &State, const ports::StoreResponse &Answer) {
  if (Answer.Found_) {
    takeNextEntry(State, Answer);
    return;
  }
  noteCaughtUp(State);
  beIdleFor(State, isWatcher(State) ? model::Duration::zero()
                                    : jittered(State, pollPeriod(State)));
}

bool isOverdue(const CoreState &State) {
  return State.Now_ - State.Follower_.Issued_ >=
         State.Settings_.StorePollPeriod_ + WatchMargin;
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

void noteStoreHealth(CoreState &State, bool Works) {
  StoreFollower &Follower = State.Follower_;
  Follower.Failures_ = Works ? 0 : Follower.Failures_ + 1;
  const bool Away = Follower.Failures_ >= FailuresUntilAway;
  if (Away == Follower.Away_ || (!Works && !Away))
    return;
  Follower.Away_ = Away;
  State.ViewChanged_ = true;
  record(State, Away ? EventKind::StoreAway : EventKind::StoreBack, "store",
         versionOf(State),
         Away ? ResultCode::StoreUnavailable : ResultCode::Ok);
}

void followStore(CoreState &State) {
  StoreFollower &Follower = State.Follower_;
  if (Follower.Activity_ != Activity::Idle) {
    if (isOverdue(State))
      noteFailure(State);
    return;
  }
  if (State.Now_ < Follower.NextAt_)
    return;
  const bool HasPeerState = State.HasState_ && versionOf(State) > 0;
  if (!State.Settings_.SeedPeers_.empty() && !HasPeerState &&
      State.Now_ - *State.StartedAt_ < PeersFirst)
    return;
  if (Follower.LoadWanted_ || !State.HasState_ ||
      (!isPositionKnown(State) && State.Confirmed_))
    startLoading(State);
  else if (versionOf(State) > 0 &&
           (!State.Confirmed_ ||
            isDue(Follower.VerifiedAt_, VerifyPeriod, State.Now_)))
    issue(State, Activity::Verifying, getEntry(versionOf(State)));
  else
    startReading(State);
}

bool takeStoreAnswer(CoreState &State, StoreCallId Call,
                     const ports::StoreResponse &Answer) {
  StoreFollower &Follower = State.Follower_;
  if (Call != Follower.Call_ || Follower.Activity_ == Activity::Idle)
    return false;
  const Activity Was = Follower.Activity_;
  if (Answer.Code_ != ResultCode::Ok) {
    noteFailure(State);
    return true;
  }
  noteStoreHealth(State, /*Works=*/true);
  if (Was == Activity::Loading)
    takeLoadAnswer(State, Answer);
  else if (Was == Activity::Verifying)
    takeVerifyAnswer(State, Answer);
  else
    takeReadAnswer(State, Answer);
  return true;
}

void hurryStore(CoreState &State) {
  StoreFollower &Follower = State.Follower_;
  if (Follower.Activity_ == Activity::Idle && !Follower.Away_)
    Follower.NextAt_ = State.Now_;
}

void restartStore(CoreState &State) {
  // What is under way may have been answered before the pause.
  State.Follower_.Activity_ = Activity::Idle;
  State.Follower_.NextAt_ = State.Now_;
}

void reloadFromStore(CoreState &State) { State.Follower_.LoadWanted_ = true; }

} // namespace cumingauge::control
