#pragma once

#include "control/linktable.h"

/// Subscribes to what peers know of the directory and applies their updates.
namespace cumingauge::control {

struct CoreState;

/// Subscribes to updates over the links that this process has opened, from the
/// revision and version known here.
void subscribeToReaders(CoreState &State);

/// Records that a peer has no list to give yet.
void handleDirectoryNotRead(CoreState &State, Link &From);

/// Applies an update by a reader, or subscribes again when changes are missing
/// before it.
void handleDirectoryUpdate(CoreState &State, Link &From,
                           const DirectoryUpdate &Message);

} // namespace cumingauge::control
