#pragma once

#include "control/directoryrevision.h"
#include "ports/directory.h"
#include <vector>

/// Follows the list of servers in the directory.
namespace cumingauge::control {

struct CoreState;

/// Issues the next call about the servers when it is due.
void followServers(CoreState &State);

/// Handles the response to a read or a watch of the servers.
void handleServersResponse(CoreState &State,
                           const ports::DirectoryResponse &Response);

/// Applies changes of servers that a call or a peer has reported.
void applyServerChanges(CoreState &State,
                        const std::vector<ports::ServerEntry> &Entries,
                        DirectoryRevision Revision);

/// Applies a whole list of servers that a peer has sent; servers that it does
/// not name are removed.
void applyCompleteList(CoreState &State,
                       const std::vector<ports::ServerEntry> &Entries,
                       DirectoryRevision Revision);

} // namespace cumingauge::control
