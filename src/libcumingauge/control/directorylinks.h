#pragma once

#include "control/core.h"
#include "control/linktable.h"

/// Spreads the configuration and the list of servers over peer links, so that
/// only a few processes of a large availability zone ask the directory. The
/// others keep links to two of these readers. A process whose news are older
/// than a part of the leaving bound asks the directory itself.
namespace cumingauge::control {

struct CoreState;
struct DirectoryFeed;

/// Whether this process has to ask the directory about a topic.
bool mustCallDirectory(const CoreState &State, const DirectoryFeed &Feed);

/// Whether other processes rely on what this one asks.
bool isReader(const CoreState &State);

/// Whether this process has links to readers.
bool hasReaders(const CoreState &State);

/// Opens and closes links, and sends the news that are due.
void maintainDirectoryLinks(CoreState &State);

/// A link is open: tells the reader what is known here.
void subscribeToReader(CoreState &State, const Link &Opened);

/// A peer wants news from now on.
void handleDirectorySubscription(CoreState &State, Link &From,
                                 const DirectorySubscription &Message);

void handleDirectoryUpdate(CoreState &State, Link &From,
                           const DirectoryUpdate &Message);

/// Sends what has changed to every peer that wants news.
void sendDirectoryUpdates(CoreState &State);

} // namespace cumingauge::control
