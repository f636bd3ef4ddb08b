#pragma once

#include "control/core.h"
#include "control/statereader.h"
#include "model/time.h"
#include <cstdint>
#include <optional>

namespace cumingauge::control {

struct CoreState;

/// Follows the change log in the store: loads the state at the start, then
/// watches or polls for the next entry, and compares the own latest entry with
/// the store's from time to time. At most one call is in flight.
struct StoreFollower {
  enum class Activity { Idle, Loading, Verifying, Reading };

  Activity Activity_ = Activity::Idle;
  StoreCallId Call_ = 0;
  model::TimePoint IssuedAt_;
  model::TimePoint NextAt_;
  StateReader Reader_;
  std::uint64_t RequestedVersion_ =
      0; ///< version in use when the call was issued
  /// Contents differ from the store or a peer: load the whole state.
  bool NeedsReload_ = false;
  /// Last time at which the store was known to hold nothing newer. Entries read
  /// within half of EntryRetention_ after it cannot have been compacted away.
  std::optional<model::TimePoint> EndSeenAt_;
  std::optional<model::TimePoint> VerifiedAt_;
  unsigned Failures_ = 0; ///< consecutive failures
  bool IsUnreachable_ = false;
};

/// Returns true when this process is one of the few of its zone that watch the
/// store, or has no link to any other.
bool isWatcher(const CoreState &State);

/// Issues the next store call when it is due.
void followStore(CoreState &State);

/// Handles the response to a store call.
/// \returns false when the call was made by another component.
bool handleStoreResponse(CoreState &State, StoreCallId Call,
                         const ports::StoreResponse &Response);

/// Makes the next poll due now, unless a call is in flight or the store is
/// unreachable.
void pollStoreNow(CoreState &State);

/// Abandons the call in flight and makes the next one due now, after a pause of
/// the process.
void restartStoreFollower(CoreState &State);

/// Requests that the whole state is loaded again, since contents differ.
void requestReload(CoreState &State);

/// Counts a failed or successful call and records an event when the store
/// becomes unreachable or reachable again.
void recordStoreHealth(CoreState &State, bool Succeeded);

} // namespace cumingauge::control
