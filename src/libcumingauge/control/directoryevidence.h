#pragma once

#include "control/directoryfeed.h"
#include "model/time.h"

/// What this process knows about how recent its view of the directory is.
namespace cumingauge::control {

struct CoreState;

/// Returns when calls of this process or of a peer last confirmed a topic.
model::TimePoint confirmedAt(const DirectoryFeed &Feed);

/// Returns when the configuration was last known to be the newest one, by the
/// calls of this process or of a peer.
model::TimePoint configurationConfirmedAt(const CoreState &State);

/// Returns the same for the list of servers alone.
model::TimePoint serversConfirmedAt(const CoreState &State);

/// Returns the time as of which the configuration and the list of servers are
/// known to be complete, by calls of this process or of a peer.
model::TimePoint directoryConfirmedAt(const CoreState &State);

/// Returns whether the configuration and the list of servers were both read, by
/// this process or by a peer.
bool isDirectoryRead(const CoreState &State);

/// Returns whether this process has to call the directory about a topic,
/// because no recent update about it has come from a peer.
bool mustCallDirectory(const CoreState &State, const DirectoryFeed &Feed);

} // namespace cumingauge::control
