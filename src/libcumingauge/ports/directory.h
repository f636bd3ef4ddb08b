#pragma once

#include "model/backendserver.h"
#include "model/member.h"
#include "model/preset.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include "model/time.h"
#include "ports/creditclaim.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::ports {

using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;

/// The lists in a directory: the operators' configuration with the zones that
/// they have evacuated, the backend servers that have registered themselves,
/// the entry processes, and which of these issue the credit of quotas.
enum class DirectoryTopic { Configuration, Servers, Members, CreditClaims };
BOOST_DESCRIBE_ENUM(DirectoryTopic, Configuration, Servers, Members,
                    CreditClaims)

/// Operations of a directory.
enum class DirectoryOperation {
  Read,     ///< reads all entries of the topic, page by page
  Watch,    ///< long poll for changes after revision After_, for up to Wait_
  Poll,     ///< returns the changes after revision After_ at once, if any
  Announce, ///< registers Self_ among the members
  Claim,    ///< writes Claim_ if its entry is still at Claim_.Revision_
  /// Cheap check whether the directory can be reached. Its response may be
  /// outdated and confirms nothing.
  Ping
};
BOOST_DESCRIBE_ENUM(DirectoryOperation, Read, Watch, Poll, Announce, Claim,
                    Ping)

/// A request to a directory.
struct DirectoryRequest {
  DirectoryOperation Operation_ = DirectoryOperation::Read;
  DirectoryTopic Topic_ = DirectoryTopic::Configuration;
  std::string Page_;        ///< Read: Next_ of the previous page; empty: first
  std::uint64_t After_ = 0; ///< Watch, Poll: the last revision already seen
  model::milliseconds Wait_{0};
  model::Member Self_;
  ListedClaim Claim_;
};

/// A backend server as registered in a directory.
struct ListedServer {
  model::BackendServer Server_;
  bool Leaving_ = false;
};
BOOST_DESCRIBE_STRUCT(ListedServer, (), (Server_, Leaving_))

/// An entry of the list of backend servers that was read or has changed.
/// Without Listed_, the server was removed, or the entry could not be parsed
/// and names no server.
struct ServerEntry {
  std::string Name_;
  std::optional<ListedServer> Listed_;
  std::uint64_t Revision_ = 0; ///< revision of its last change; 0: unknown
  /// The entry is from a copy of the directory; the server has departed since.
  bool Departed_ = false;
  bool IsFromPeer_ = false; ///< a peer has passed it on
  /// Set when the directory does not list the server and a peer keeps it, as it
  /// may register again: when it was found missing.
  std::optional<model::TimePoint> MissingSince_;
};

/// Whether operators request that an availability zone is evacuated.
struct ZoneRequest {
  std::string Zone_;
  bool Evacuated_ = false; ///< false: the request was withdrawn
};
BOOST_DESCRIBE_STRUCT(ZoneRequest, (), (Zone_, Evacuated_))

/// The operators' configuration as one preset.
struct ListedConfiguration {
  std::uint64_t Version_ = 0;
  model::Preset Preset_;
};

/// Response to a request. Code_ is Ok, StoreUnavailable, StoreTimeout (an
/// Announce or Claim may have taken effect), StoreRateLimited or
/// StoreAnswerInvalid.
struct DirectoryResponse {
  model::ResultCode Code_ = model::ResultCode::Ok;
  std::uint64_t Revision_ = 0; ///< the response covers all changes up to it
  /// Rises each time that the directory is restored from a copy; changes may
  /// then be lost and revisions be given out again. 0: unknown.
  std::uint64_t Era_ = 0;
  /// Watch: the changes after After_ are no longer available; use Read.
  bool IsCompacted_ = false;
  /// Claim: the entry was at another revision, and nothing was written. Claims_
  /// has the entry as it is.
  bool IsConflict_ = false;
  std::string Next_; ///< Read: token of the next page; empty: last page
  std::optional<ListedConfiguration> Configuration_; ///< present if it is new
  /// Topic Configuration: the evacuated zones, or the changes of a watch.
  std::vector<ZoneRequest> Zones_;
  std::vector<ServerEntry> Servers_; ///< in the order of their changes
  std::vector<model::Member> Members_;
  /// Claims that exist, also those that cannot be read.
  std::vector<ListedClaim> Claims_;
  model::Problems Unreadable_; ///< entries left out, with the reason
};

using DirectoryHandler = std::function<void(const DirectoryResponse &)>;

/// Port to the directory service, in which operators and backend servers
/// publish configuration and server lists for the entry processes.
struct Directory {
  std::function<void(const DirectoryRequest &, DirectoryHandler)> Execute_;
};

} // namespace cumingauge::ports
