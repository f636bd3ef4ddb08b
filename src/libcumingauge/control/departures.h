#pragma once

#include "control/leavingtable.h"
#include "model/time.h"
#include "ports/directory.h"
#include <cstdint>
#include <map>
#include <optional>

namespace cumingauge::control {

struct CoreState;

/// How a server was last seen to leave the directory.
struct Departure {
  std::uint64_t Era_ = 0;  ///< era of the directory at that time
  bool IsLeaving_ = false; ///< it was marked as leaving; else just removed
  model::TimePoint At_;
};

/// Servers that were leaving or were removed. A directory that was restored
/// from a copy may list them as ready again.
struct DepartureTable {
  std::map<ServerIdentity, Departure> Departures_;
  /// Whether servers that were removed before the last restore are still held
  /// back, until their entries in the copy have expired.
  bool HoldsRemoved_ = false;
};

/// Records the state in which the directory lists a server: as leaving, or as
/// ready, which ends a departure of the same era.
void recordListing(CoreState &State, const ports::ListedServer &Listed);

/// Records that a server was removed from the list.
void recordRemoval(CoreState &State, const ports::ListedServer &Removed);

/// Records a departure before the last restore that a peer has reported.
void recordEarlierDeparture(CoreState &State, const ServerIdentity &Server,
                            bool WasLeaving);

/// Records that a server has written its entry after the last restore, so that
/// it is not held back as removed.
/// \returns true when it was held back.
bool recordRenewal(CoreState &State, const ports::ListedServer &Listed);

/// Returns whether a listed server must get no new work because it departed
/// before the last restore.
bool isDeparted(const CoreState &State, const ports::ListedServer &Listed);

/// Returns whether a server that isDeparted() was leaving; nothing for others.
std::optional<bool> wasLeaving(const CoreState &State,
                               const ports::ListedServer &Listed);

/// Ends the time for which removed servers are held back, and forgets old
/// departures.
/// \returns true when servers are no longer held back.
bool expireDepartures(CoreState &State);

} // namespace cumingauge::control
