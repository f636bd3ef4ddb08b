#pragma once

#include "control/linktable.h"

/// Sends what this process knows of the directory to the peers that have
/// subscribed to it.
namespace cumingauge::control {

struct CoreState;

/// Handles a peer's subscription: sends the changes that it lacks, and updates
/// from now on.
void handleDirectorySubscription(CoreState &State, Link &From,
                                 const DirectorySubscription &Message);

/// Passes an update on to the subscribed peers that need it: at once when it
/// brings a change, or when the confirmation that they have is getting old.
void relayUpdate(CoreState &State, bool IsChanged);

/// Sends the latest changes to every subscribed peer.
void sendDirectoryUpdates(CoreState &State);

/// Sends an update to each subscribed peer that has not received one for a
/// while, so that its link does not fall silent.
void sendOverdueUpdates(CoreState &State);

} // namespace cumingauge::control
