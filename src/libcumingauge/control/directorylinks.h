#pragma once

#include "control/core.h"
#include "control/linktable.h"

/// Distributes the configuration and the list of servers over peer links, so
/// that only a few processes, the fleet readers, call the directory. The zone
/// readers subscribe to them, and the other processes of a large availability
/// zone to two of its readers. Updates carry the time since the directory was
/// asked, however many processes they pass. A process whose last update is
/// older than a fraction of the leaving bound calls the directory itself.
namespace cumingauge::control {

struct CoreState;
struct DirectoryFeed;

/// Returns when the configuration was last known to be the newest one, by the
/// calls of this process or of a peer.
model::TimePoint configurationConfirmedAt(const CoreState &State);

/// Returns the time as of which the configuration and the list of servers are
/// known to be complete, by calls of this process or of a peer.
model::TimePoint directoryConfirmedAt(const CoreState &State);

/// Returns the same for the list of servers alone.
model::TimePoint serversConfirmedAt(const CoreState &State);

/// Returns whether this process has to call the directory about a topic,
/// because no recent update about it has come from a peer.
bool mustCallDirectory(const CoreState &State, const DirectoryFeed &Feed);

/// Returns whether a process that has just started should wait for a reader's
/// first update rather than read the directory.
bool waitsForReaders(const CoreState &State);

/// Returns whether other processes subscribe to updates of this one.
bool isReader(const CoreState &State);

/// Returns whether this process has links to readers.
bool hasReaders(const CoreState &State);

/// Opens and closes links to readers, and sends the updates that are due.
void maintainDirectoryLinks(CoreState &State);

/// Subscribes to updates over the links that this process has opened, from the
/// revision and version known here.
void subscribeToReaders(CoreState &State);

/// Returns the time from the start until the member list is read for the first
/// time. When the whole fleet starts, all members first have to announce
/// themselves.
model::Duration membersReadDelay(const CoreState &State);

/// Records that a peer has no list to give yet.
void handleDirectoryNotRead(CoreState &State, Link &From);

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
