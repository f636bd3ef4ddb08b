#pragma once

#include "control/core.h"
#include "control/linktable.h"
#include "ports/directory.h"
#include <cstddef>

/// Credit for the calls of workspaces with a quota: requests it from the
/// processes that issue it, and issues it to others.
namespace cumingauge::control {

struct CoreState;

/// Keeps the claims, gives up requests that are not answered, and closes links
/// that are not used. To be called at every tick.
void followCredit(CoreState &State);

/// Continues the requests that wait for a link.
void advanceCredit(CoreState &State);

/// Handles a request of this process for one call. It is decided by exactly one
/// DecideCredit command, at once or later.
void handleCreditWanted(CoreState &State, const CreditWanted &Input);

/// Answers the request of a peer.
void handleCreditRequest(CoreState &State, Link &From,
                         const CreditRequest &Message);

/// Handles the answer of an issuer. One that comes too late is ignored.
void handleCreditReply(CoreState &State, const CreditReply &Message);

/// Handles the response to a directory call about claims.
/// \returns false when the call was another one.
bool handleCreditResponse(CoreState &State, StoreCallId Call,
                          const ports::DirectoryResponse &Response);

/// Stops to issue credit and decides all requests, when the process stops.
void endCredit(CoreState &State);

/// Returns whether this process requests credit from the process at an address.
bool isAskedForCredit(const CoreState &State, const PeerAddress &Address);

/// Returns how many processes may open links to request credit.
std::size_t countExpectedAskers(const CoreState &State);

} // namespace cumingauge::control
