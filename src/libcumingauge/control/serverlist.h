#pragma once

#include "ports/directory.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The list of servers as read from the directory or told by peers.
namespace cumingauge::control {

struct CoreState;

/// Takes entries; true when they changed what is known of a server.
bool applyServerEntries(CoreState &State,
                        const std::vector<ports::ServerEntry> &Entries);

/// Takes a whole list.
void applyServerList(CoreState &State,
                     const std::map<std::string, ports::ServerEntry> &Read);

/// Takes a page of a list; true when the list is complete.
bool addServerPage(CoreState &State, const ports::DirectoryResponse &Response);

/// Everything up to a revision is known now.
void advanceKnownRevision(CoreState &State, std::uint64_t Revision);

/// Whether an outage of the directory has just ended, so that missing servers
/// may still come back.
bool isOutageJustOver(const CoreState &State);

} // namespace cumingauge::control
