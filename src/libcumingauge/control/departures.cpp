#include "control/departures.h"
#include "control/corestate.h"

namespace cumingauge::control {

namespace {

/// Time in which the entry of a server that no longer renews it has expired.
constexpr model::milliseconds EntryExpiry{6000};
/// Time for which a departure is remembered; longer than the age of a copy from
/// which a directory is restored.
constexpr model::seconds DepartureLifetime{120};

ServerIdentity identityOf(const ports::ListedServer &Listed) {
  return {Listed.Server_.Name_, Listed.Server_.Vm_};
}

bool isListed(const DirectoryFollower &Follower, const ServerIdentity &Server) {
  const auto Found = Follower.Listed_.find(Server.Server_);
  return Found != Follower.Listed_.end() &&
         Found->second.Server_.Vm_ == Server.Vm_;
}

std::map<ServerIdentity, Departure> &departuresOf(CoreState &State) {
  return State.Directory_.Departures_.Departures_;
}

} // namespace

void recordListing(CoreState &State, const ports::ListedServer &Listed) {
  auto &Departures = departuresOf(State);
  const std::uint64_t Era = State.Directory_.Era_.Number_;
  if (Listed.Leaving_) {
    Departures[identityOf(Listed)] = {Era, /*IsLeaving_=*/true, State.Now_};
    return;
  }
  const auto Found = Departures.find(identityOf(Listed));
  if (Found != Departures.end() && Found->second.Era_ == Era)
    Departures.erase(Found);
}

void recordRemoval(CoreState &State, const ports::ListedServer &Removed) {
  Departure &Last = departuresOf(State)[identityOf(Removed)];
  Last.Era_ = State.Directory_.Era_.Number_;
  Last.IsLeaving_ = Last.IsLeaving_ || Removed.Leaving_;
  Last.At_ = State.Now_;
}

void recordEarlierDeparture(CoreState &State, const ServerIdentity &Server,
                            bool WasLeaving) {
  const std::uint64_t Era = State.Directory_.Era_.Number_;
  if (Era > 0)
    departuresOf(State).try_emplace(Server,
                                    Departure{Era - 1, WasLeaving, State.Now_});
}

bool recordRenewal(CoreState &State, const ports::ListedServer &Listed) {
  const auto Found = departuresOf(State).find(identityOf(Listed));
  if (Found == departuresOf(State).end() || Found->second.IsLeaving_)
    return false;
  const bool WasHeldBack = isDeparted(State, Listed);
  departuresOf(State).erase(Found);
  return WasHeldBack;
}

bool isDeparted(const CoreState &State, const ports::ListedServer &Listed) {
  const DepartureTable &Table = State.Directory_.Departures_;
  const auto Found = Table.Departures_.find(identityOf(Listed));
  if (Found == Table.Departures_.end() ||
      Found->second.Era_ >= State.Directory_.Era_.Number_)
    return false;
  return Found->second.IsLeaving_ || Table.HoldsRemoved_;
}

std::optional<bool> wasLeaving(const CoreState &State,
                               const ports::ListedServer &Listed) {
  if (!isDeparted(State, Listed))
    return std::nullopt;
  return State.Directory_.Departures_.Departures_.at(identityOf(Listed))
      .IsLeaving_;
}

bool expireDepartures(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  auto &Departures = departuresOf(State);
  for (auto It = Departures.begin(); It != Departures.end();) {
    const bool IsOld = State.Now_ - It->second.At_ >= DepartureLifetime;
    const bool IsForgotten = IsOld && !isListed(Follower, It->first);
    It = IsForgotten ? Departures.erase(It) : std::next(It);
  }
  const auto &RestoredAt = Follower.Era_.RestoredAt_;
  if (!Follower.Departures_.HoldsRemoved_ || !RestoredAt ||
      State.Now_ - *RestoredAt < EntryExpiry)
    return false;
  Follower.Departures_.HoldsRemoved_ = false;
  return true;
}

} // namespace cumingauge::control
