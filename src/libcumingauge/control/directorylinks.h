#pragma once

#include "model/time.h"

/// Opens the links over which the configuration and the list of servers are
/// distributed, so that only a few processes, the fleet readers, call the
/// directory. The zone readers subscribe to them, and the other processes of a
/// large availability zone to two of its readers. Updates tell when the
/// directory was asked, however many processes they pass. A process whose
/// last update is older than a fraction of the leaving bound calls the
/// directory itself.
namespace cumingauge::control {

struct CoreState;

/// Returns whether a process that has just started should wait for a reader's
/// first update rather than read the directory.
bool waitsForReaders(const CoreState &State);

/// Returns whether other processes subscribe to updates of this one.
bool isReader(const CoreState &State);

/// Returns whether this process has links to readers.
bool hasReaders(const CoreState &State);

/// Opens and closes links to readers, and sends the updates that are due.
void maintainDirectoryLinks(CoreState &State);

/// Returns the time from the start until the member list is read for the first
/// time. When the whole fleet starts, all members first have to announce
/// themselves.
model::Duration membersReadDelay(const CoreState &State);

} // namespace cumingauge::control
