#pragma once

#include "control/core.h"
#include "control/statereader.h"
#include "model/time.h"
#include <cstdint>
#include <optional>

namespace cumingauge::control {

struct CoreState;

/// Reads the change log from the store: loads the state at the start, then
/// watches or polls for the next entry, and compares the latest own entry
/// with the store's from time to time. One call at a time.
struct StoreFollower {
  enum class Activity { Idle, Loading, Verifying, Reading };

  Activity Activity_ = Activity::Idle;
  StoreCallId Call_ = 0;
  model::TimePoint Issued_;
  model::TimePoint NextAt_;
  StateReader Reader_;
  std::uint64_t AskedVersion_ = 0; ///< own version when the call was made
  bool NeedsReload_ = false;       ///< contents are in doubt: read all of it
  /// Last time that the store was known to hold nothing newer; entries read
  /// within a bounded time after it cannot have been compacted away.
  std::optional<model::TimePoint> EndSeenAt_;
  std::optional<model::TimePoint> VerifiedAt_;
  unsigned Failures_ = 0; ///< in a row
  bool IsUnreachable_ = false;
};

/// True when this process is one of the few of its zone that watch the store,
/// or has no link to any other.
bool isWatcher(const CoreState &State);

/// Makes the next call when it is due.
void followStore(CoreState &State);

/// Takes the answer to a call; false when the call was made by another part.
bool handleStoreResponse(CoreState &State, StoreCallId Call,
                         const ports::StoreResponse &Response);

/// Has the store asked at once.
void pollStoreNow(CoreState &State);

/// Reads the store again at once after a pause, whatever was under way.
void restartStoreFollower(CoreState &State);

/// Has the whole state read again, since contents disagree.
void requestReload(CoreState &State);

/// Counts a failed or successful call and tells when the store goes or comes.
void recordStoreHealth(CoreState &State, bool Works);

} // namespace cumingauge::control
