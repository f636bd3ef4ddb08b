#pragma once

#include "control/core.h"
#include "control/directoryfeed.h"
#include "ports/directory.h"

/// Issues calls of the directory and records how they end.
namespace cumingauge::control {

struct CoreState;

/// Returns a fraction of the time in which a leaving mark must be in force.
model::Duration fractionOfLeavingBound(const CoreState &State, double Part);

/// Returns the minimum time between two calls about one topic.
model::Duration callPause(const CoreState &State);

/// Returns the time until the next call after \p Failures in a row, at least
/// one.
model::Duration retryDelay(CoreState &State, unsigned Failures);

/// Calls the directory and returns the id of the call.
StoreCallId callDirectory(CoreState &State, ports::DirectoryRequest Request);

/// Issues the call of a topic.
void issueCall(CoreState &State, DirectoryFeed &Feed,
               ports::DirectoryRequest Request);

/// Returns whether no call of the topic is in flight and the pause after the
/// last one is over.
bool isDueNow(const CoreState &State, const DirectoryFeed &Feed);

/// Returns whether a call about the topic is due. A directory that does not
/// respond is pinged first, which costs less. A topic on which peers send
/// updates is not called about; it is read as a whole once the updates stop.
bool shouldCall(const CoreState &State, const DirectoryFeed &Feed);

/// Returns a request to read the whole topic, or to watch it from the revision
/// up to which it is known.
ports::DirectoryRequest nextRequest(const DirectoryFeed &Feed,
                                    ports::DirectoryTopic Topic);

/// Returns true when changes may have been missed: the history is compacted, or
/// a watch without changes ended long before its wait.
bool canHaveMissedChanges(const CoreState &State, const DirectoryFeed &Feed,
                          const ports::DirectoryResponse &Response,
                          bool HasChanges);

/// Records the failure of a call about a topic. After some failures in a row
/// the directory counts as away.
void recordTopicFailure(CoreState &State, DirectoryFeed &Feed);

/// Records that a call about a topic has succeeded.
void recordSuccess(CoreState &State, DirectoryFeed &Feed);

/// Gives up the call of a topic when its response is overdue.
void dropOverdueCall(CoreState &State, DirectoryFeed &Feed);

} // namespace cumingauge::control
