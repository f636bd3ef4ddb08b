#include "control/directoryera.h"
#include "control/corestate.h"
#include <string>

namespace cumingauge::control {

namespace {

using model::EventKind;
using model::ResultCode;

constexpr model::seconds OlderEraAlarmInterval{60};
/// Time over which the processes of the fleet announce themselves again after a
/// restore, so that they do not all write at once.
constexpr model::milliseconds AnnouncementSpread{3000};

std::string describeRestore(const CoreState &State,
                            DirectoryRevision Position) {
  const DirectoryFollower &Follower = State.Directory_;
  const std::string Revision =
      Position.Number_ == 0 ? "unknown" : std::to_string(Position.Number_);
  return "era " + std::to_string(Position.Era_) + " after " +
         std::to_string(Follower.Era_.Number_) + "; revision " + Revision +
         " after " + std::to_string(Follower.KnownRevision_.Number_);
}

/// Returns whether the next call about a topic, or the one in flight, continues
/// from something that was read before: a revision or a page.
bool continuesRead(const DirectoryFollower &Follower,
                   const DirectoryFeed &Feed) {
  return Feed.Revision_ > 0 ||
         (&Feed == &Follower.Configuration_ && Follower.ConfigurationRead_) ||
         (&Feed == &Follower.Servers_ && Follower.ListRead_ &&
          !Follower.ListRead_->NextPage_.empty());
}

/// Makes the next call about each topic read it as a whole.
void restartReads(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  for (DirectoryFeed *Feed : {&Follower.Configuration_, &Follower.Servers_}) {
    if (!continuesRead(Follower, *Feed))
      continue;
    Feed->Call_ = 0; // the response to a call in flight is ignored
    Feed->Poll_ = DirectoryPoll();
    Feed->Revision_ = 0;
    if (Feed == &Follower.Servers_)
      Follower.ListRead_.reset();
    else
      Follower.ConfigurationRead_.reset();
    if (Feed->Failures_ == 0)
      Feed->NextAt_ = State.Now_;
  }
}

/// Makes this process announce itself again, as its entry in the member list
/// may be lost.
void announceAgain(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  const auto Spread = static_cast<std::uint32_t>(AnnouncementSpread.count());
  Follower.Announced_ = false;
  Follower.Members_.Call_ = 0; // its response would count as an announcement
  Follower.Members_.NextAt_ =
      State.Now_ + model::milliseconds(State.Random_(Spread));
}

/// Makes an era the present one.
void enterEra(CoreState &State, DirectoryRevision Position) {
  DirectoryEra &Era = State.Directory_.Era_;
  if (Era.Number_ > 0) {
    ++Era.Restores_;
    record(State, EventKind::StoreRestored, "store", versionOf(State),
           ResultCode::Ok, describeRestore(State, Position));
    Era.RestoredAt_ = State.Now_;
    State.Directory_.Departures_.HoldsRemoved_ = true;
    restartReads(State);
    announceAgain(State);
    // Servers that registered in the lost seconds keep their place until they
    // have had time to register again.
    State.Directory_.OutageEndedAt_ = State.Now_;
  }
  Era.Number_ = Position.Era_;
}

void recordOlderEra(CoreState &State, std::uint64_t Number) {
  DirectoryEra &Era = State.Directory_.Era_;
  if (!isDue(Era.OlderAt_, OlderEraAlarmInterval, State.Now_))
    return;
  Era.OlderAt_ = State.Now_;
  record(State, EventKind::Alarm, "store", versionOf(State),
         ResultCode::StoreBehindFleet,
         "response of era " + std::to_string(Number) + ", older than " +
             std::to_string(Era.Number_));
}

} // namespace

DirectoryRevision revisionNow(const CoreState &State, std::uint64_t Number) {
  return {State.Directory_.Era_.Number_, Number};
}

bool observeEra(CoreState &State, const ports::DirectoryResponse &Response) {
  const DirectoryEra &Era = State.Directory_.Era_;
  if (Response.Era_ == 0)
    return true;
  if (Response.Era_ < Era.Number_) {
    recordOlderEra(State, Response.Era_);
    return false;
  }
  if (Response.Era_ > Era.Number_)
    enterEra(State, {Response.Era_, Response.Revision_});
  return true;
}

bool observePeerEra(CoreState &State, DirectoryRevision Position) {
  const DirectoryEra &Era = State.Directory_.Era_;
  if (Position.Era_ > Era.Number_)
    enterEra(State, Position);
  return Position.Era_ == Era.Number_;
}

} // namespace cumingauge::control
