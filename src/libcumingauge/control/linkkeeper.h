#pragma once

#include "control/core.h"
#include "control/linktable.h"

/// Keeps the links to the chosen peers open, closes those no longer wanted,
/// and tries seeds and dead members from time to time, so that parts of the
/// fleet that lost each other meet again.
namespace cumingauge::control {

struct CoreState;

void handleLinkOpened(CoreState &State, const LinkOpened &Input);
void handleLinkClosed(CoreState &State, const LinkClosed &Input);
void handleLinkFailed(CoreState &State, const LinkFailed &Input);

/// Opens and closes what is due. To be called at every tick.
void maintainLinks(CoreState &State);

// Parts of it, for other choices of peers.

/// Whether an address has failed a short while ago.
bool isAddressAvoided(const CoreState &State, const PeerAddress &Address);

/// Orders a link unless one is being opened or the address is avoided.
void openLink(CoreState &State, const PeerAddress &Address);

void closeLink(CoreState &State, LinkId Id, model::ResultCode Reason);

/// Closes links that this process opened and has not wanted for a while.
void closeUnwantedLinks(CoreState &State,
                        const std::vector<const model::Member *> &Wanted);

/// Forgets attempts that have failed or taken too long.
void dropExpiredAttempts(CoreState &State);

} // namespace cumingauge::control
