#pragma once

#include "control/core.h"
#include "model/time.h"
#include "ports/directory.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

struct CoreState;

/// Calls about one topic of the directory, one at a time.
struct DirectoryFeed {
  StoreCallId Call_ = 0; ///< 0: none under way
  model::TimePoint Issued_;
  model::TimePoint NextAt_;
  unsigned Failures_ = 0; ///< in a row
  /// Everything up to it is known; 0: the topic must be read as a whole.
  std::uint64_t Revision_ = 0;
  bool Read_ = false; ///< at least once
  /// Moment of which own calls have shown the topic.
  model::TimePoint ConfirmedAt_;
  /// The same by the word of a peer.
  std::optional<model::TimePoint> PeerConfirmedAt_;
};

/// Follows a directory: reads the configuration and the servers and then
/// watches both, with a pause after each answer so that many changes cost few
/// calls. The configuration's version never goes back. A watch that waits does
/// not show that the directory is still reached, so processes on which others
/// rely ping it meanwhile.
struct DirectoryFollower {
  DirectoryFeed Configuration_;
  DirectoryFeed Servers_;
  DirectoryFeed Members_;
  DirectoryFeed Ping_; ///< pings of a reader
  bool Announced_ = false;
  std::map<std::string, ports::ServerEntry> Pages_; ///< of the read under way
  std::uint64_t PagesRevision_ = 0;
  model::TimePoint PagesRequestedAt_; ///< when the first page was asked for
  std::string NextPage_;
  std::map<std::string, ports::ListedServer> Listed_; ///< by name
  std::vector<model::Member> ListedMembers_;
  std::uint64_t KnownRevision_ = 0; ///< of the list; never goes back
  /// Revision up to which each server's last change was seen, removed ones
  /// included.
  std::map<std::string, std::uint64_t> ChangedAt_;
  std::optional<model::TimePoint> OutageEndedAt_; ///< end of the last outage
};

/// Makes the calls that are due.
void followDirectory(CoreState &State);

/// Takes the answer to a call.
void handleDirectoryResponse(CoreState &State, StoreCallId Call,
                             const ports::DirectoryResponse &Response);

/// Takes changes of servers that a call or a peer has told.
void applyServerChanges(CoreState &State,
                        const std::vector<ports::ServerEntry> &Entries,
                        std::uint64_t Revision);

/// Takes a configuration that a call or a peer has told.
void applyConfiguration(CoreState &State,
                        const ports::ListedConfiguration &Read);

/// Has everything read again at once, after a pause of the process.
void rereadDirectory(CoreState &State);

} // namespace cumingauge::control
