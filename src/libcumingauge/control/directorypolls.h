#pragma once

#include "control/core.h"
#include "model/time.h"
#include "ports/directory.h"
#include <cstdint>

/// Shows that this process lacks no change of the directory. A watch that waits
/// shows nothing: its response may be lost, or the directory may never give
/// one. So a topic that has not been confirmed for a while is polled beside its
/// watch, unless peers keep it informed.
namespace cumingauge::control {

struct CoreState;

/// Records that a call which was issued at \p At has shown the directory's
/// revision: every topic that is known up to that revision was complete then.
void recordEvidence(CoreState &State, std::uint64_t Revision,
                    model::TimePoint At);

/// Issues the polls that are due, and pings a directory that is away.
void pollDirectory(CoreState &State);

/// Handles the response to a poll.
/// \returns false when the call was no poll.
bool handlePollResponse(CoreState &State, StoreCallId Call,
                        const ports::DirectoryResponse &Response);

/// Handles a successful ping: the directory is no longer away.
void handlePingResponse(CoreState &State);

} // namespace cumingauge::control
