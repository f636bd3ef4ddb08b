#pragma once

#include "control/core.h"
#include "control/linktable.h"

/// Keeps the links to the chosen peers open, closes those no longer wanted, and
/// tries seeds and dead members from time to time, so that partitioned parts of
/// the fleet join again.
namespace cumingauge::control {

struct CoreState;

/// Registers an open link, or closes it when it is a duplicate, leads to this
/// process or exceeds the maximum number of links.
void handleLinkOpened(CoreState &State, const LinkOpened &Input);
/// Removes a closed link. An address whose link closed soon after it was opened
/// is avoided for a while.
void handleLinkClosed(CoreState &State, const LinkClosed &Input);
/// Avoids an address that could not be reached for a while and suspects the
/// members there.
void handleLinkFailed(CoreState &State, const LinkFailed &Input);

/// Opens and closes the links that are due. To be called at every tick.
void maintainLinks(CoreState &State);

// Functions for components that choose peers in another way.

/// Returns whether an address is avoided because a link to it failed recently.
bool isAddressAvoided(const CoreState &State, const PeerAddress &Address);

/// Issues a command to open a link unless one is being opened or the address is
/// avoided.
void openLink(CoreState &State, const PeerAddress &Address);

/// Issues a command to close a link and removes it.
void closeLink(CoreState &State, LinkId Id, model::ResultCode Reason);

/// Closes links that this process opened and that have not been wanted for a
/// while.
void closeUnwantedLinks(CoreState &State,
                        const std::vector<const model::Member *> &Wanted);

/// Removes attempts to open a link that have timed out, and addresses that are
/// no longer avoided.
void dropExpiredAttempts(CoreState &State);

} // namespace cumingauge::control
