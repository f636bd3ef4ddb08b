#pragma once

#include "control/core.h"
#include "model/time.h"
#include <optional>

namespace cumingauge::control {

struct CoreState;

/// What is known of the platform's VM list, fetched by this process or received
/// from peers.
struct VmList {
  StoreCallId Call_ = 0; ///< 0: no call in flight
  model::TimePoint IssuedAt_;
  model::TimePoint NextAt_;
  unsigned EntryVms_ = 0;
  std::optional<model::TimePoint> EntryVmsAt_; ///< when the list was fetched
};

/// Issues a call to fetch the list when it is due.
void pollVmList(CoreState &State);

/// Handles the response to a store call.
/// \returns false when the call was made by another component.
bool handleVmListResponse(CoreState &State, StoreCallId Call,
                          const ports::StoreResponse &Response);

/// Records the count of entry VMs that a peer has passed on, if it is newer.
void recordEntryVms(CoreState &State, const Heartbeat &Message);

/// Returns the number of entry VMs in the list; 0 when it is unknown or too
/// old.
unsigned listedEntryVms(const CoreState &State);

} // namespace cumingauge::control
