#pragma once

#include "control/configurationread.h"
#include "control/core.h"
#include "control/departures.h"
#include "control/directoryera.h"
#include "control/directoryfeed.h"
#include "control/directoryrevision.h"
#include "control/evacuations.h"
#include "control/serverlistread.h"
#include "model/time.h"
#include "ports/directory.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

struct CoreState;

/// The last known change of a server in the list.
struct ServerChange {
  DirectoryRevision Revision_;
  /// Number of the change in this process. A server that is kept for a while
  /// after it went missing is removed without a new revision.
  std::uint64_t Number_ = 0;
};

/// Follows a directory: reads the configuration and the list of servers, or
/// gets them from a reader, and then watches both unless readers do. It pauses
/// after each response, so that many changes cost few calls. The
/// configuration's version never decreases. A waiting watch does not show that
/// nothing has changed, so a process whose watch waits also polls the
/// directory, unless peers keep it informed.
struct DirectoryFollower {
  DirectoryFeed Configuration_;
  DirectoryFeed Servers_;
  DirectoryFeed Members_;
  DirectoryFeed Ping_;  ///< pings while the directory is away
  bool IsAway_ = false; ///< calls have failed, and no ping has succeeded since
  DirectoryEra Era_;
  bool Announced_ = false; ///< this process is in the member list
  /// Links may be open to peers that are asked only when this process starts.
  bool HasStartLinks_ = false;
  /// The read of the list that is under way.
  std::optional<ServerListRead> ListRead_;
  /// KnownRevision_ when the read or the watch that is under way began.
  DirectoryRevision KnownBefore_;
  /// Backend servers by name, as the directory lists them.
  std::map<std::string, ports::ListedServer> Listed_;
  /// Servers in Listed_ that the directory does not list, as it was down, and
  /// that may register again: when they were found missing.
  std::map<std::string, model::TimePoint> MissingSince_;
  DepartureTable Departures_;
  EvacuationTable Evacuations_;
  /// The read of the configuration that is under way, after its first page.
  std::optional<ConfigurationRead> ConfigurationRead_;
  std::vector<model::Member> ListedMembers_;
  DirectoryRevision KnownRevision_; ///< of the server list; never decreases
  /// Revision of the first whole list of the era. Servers that were removed
  /// before it are missing in Changes_.
  DirectoryRevision FirstRevision_;
  /// Revision of the last list that was taken as a whole and went beyond what
  /// was known; all changes after it are in Changes_.
  DirectoryRevision ChangesSince_;
  /// A peer has sent changes that are only complete with the whole list, which
  /// has not arrived yet.
  bool AwaitsWholeList_ = false;
  /// Last known change of each server, removed ones included.
  std::map<std::string, ServerChange> Changes_;
  std::uint64_t LastChange_ = 0; ///< number of the latest of Changes_
  /// When the directory's last outage ended.
  std::optional<model::TimePoint> OutageEndedAt_;
};

/// Issues the directory calls that are due.
void followDirectory(CoreState &State);

/// Handles the response to a directory call.
void handleDirectoryResponse(CoreState &State, StoreCallId Call,
                             const ports::DirectoryResponse &Response);

/// Reads the configuration and the servers again at once, after a pause of the
/// process.
void rereadDirectory(CoreState &State);

} // namespace cumingauge::control
