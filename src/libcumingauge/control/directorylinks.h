#pragma once

#include "control/core.h"
#include "control/linktable.h"

/// Distributes the configuration and the list of servers over peer links, so
/// that only a few processes of a large availability zone, the readers, call
/// the directory. The others keep links to two readers. A process whose last
/// update is older than a fraction of the leaving bound calls the directory
/// itself.
namespace cumingauge::control {

struct CoreState;
struct DirectoryFeed;

/// Returns whether this process has to call the directory about a topic.
bool mustCallDirectory(const CoreState &State, const DirectoryFeed &Feed);

/// Returns whether other processes subscribe to updates of this one.
bool isReader(const CoreState &State);

/// Returns whether this process has links to readers.
bool hasReaders(const CoreState &State);

/// Opens and closes links to readers, and sends the updates that are due.
void maintainDirectoryLinks(CoreState &State);

/// Subscribes to updates over a link that this process has just opened, from
/// the revision and version known here.
void subscribeToReader(CoreState &State, const Link &Opened);

/// Handles a peer's subscription: sends the changes that it lacks, and updates
/// from now on.
void handleDirectorySubscription(CoreState &State, Link &From,
                                 const DirectorySubscription &Message);

/// Applies an update by a reader, or subscribes again when changes are missing
/// before it.
void handleDirectoryUpdate(CoreState &State, Link &From,
                           const DirectoryUpdate &Message);

/// Sends the latest changes to every subscribed peer.
void sendDirectoryUpdates(CoreState &State);

} // namespace cumingauge::control
