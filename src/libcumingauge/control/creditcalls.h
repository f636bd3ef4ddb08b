#pragma once

#include "control/core.h"
#include "ports/directory.h"

/// Reads and writes the claims of the parts of quotas in the directory.
namespace cumingauge::control {

struct CoreState;

/// Issues the calls that are due. To be called at every tick while the
/// configuration has a quota.
void followClaims(CoreState &State);

/// Handles the response to a call about claims.
/// \returns false when the call was another one.
bool handleClaimResponse(CoreState &State, StoreCallId Call,
                         const ports::DirectoryResponse &Response);

/// Makes the next read of the claims due soon: an issuer is unknown or does not
/// answer.
void wantClaims(CoreState &State);

/// Stops to issue credit and tells so in the claims of this process, which
/// others may then replace at once.
void releaseClaims(CoreState &State);

} // namespace cumingauge::control
