#pragma once

#include "control/core.h"
#include "model/time.h"
#include <optional>

namespace cumingauge::control {

struct CoreState;

/// What is known of the platform's VM list, first hand or from peers.
struct VmList {
  StoreCallId Call_ = 0; ///< 0: no call under way
  model::TimePoint Issued_;
  model::TimePoint NextAt_;
  unsigned EntryVms_ = 0;
  std::optional<model::TimePoint> EntryVmsAt_; ///< when it was fetched
};

/// Fetches the list when it is due.
void pollVmList(CoreState &State);

/// Takes the answer to a call; false when the call was made by another part.
bool handleVmListResponse(CoreState &State, StoreCallId Call,
                          const ports::StoreResponse &Response);

/// Takes the count that a peer has passed on.
void recordEntryVms(CoreState &State, const Heartbeat &Message);

/// Entry VMs in the list; 0 when it is unknown or too old.
unsigned listedEntryVms(const CoreState &State);

} // namespace cumingauge::control
