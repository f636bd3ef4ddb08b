#pragma once

#include "control/directoryrevision.h"
#include "control/serverlistread.h"
#include "ports/directory.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The list of backend servers as read from the directory or received from
/// peers.
namespace cumingauge::control {

/// What happens to known servers that a whole list does not name.
enum class MissingServers {
  Remove,
  /// They keep their place for a while when so many are missing that the
  /// directory must have been down.
  KeepAfterOutage
};

struct CoreState;

/// Applies changed entries.
/// \returns true when they changed what is known of a server.
bool applyServerEntries(CoreState &State,
                        const std::vector<ports::ServerEntry> &Entries);

/// Applies a list that was read as a whole. After an outage, servers that are
/// missing from it stay in the list for a while.
void applyServerList(CoreState &State,
                     const std::map<std::string, ports::ServerEntry> &Read,
                     MissingServers Rule);

/// Returns the entry of a peer's update as this process takes it. A server that
/// the peer keeps although the directory does not list it counts as removed,
/// unless this process keeps it too or has no list yet.
ports::ServerEntry entryToTake(const CoreState &State,
                               const ports::ServerEntry &Entry);

/// Adds a page to a read of the list.
/// \returns true when the list is complete.
bool addServerPage(ServerListRead &Read,
                   const ports::DirectoryResponse &Response);

/// Records that all changes up to a revision are known.
void advanceKnownRevision(CoreState &State, DirectoryRevision Revision);

/// Returns whether an outage of the directory has just ended, so that missing
/// servers may still register again.
bool isOutageJustOver(const CoreState &State);

} // namespace cumingauge::control
