#pragma once

#include "model/backendserver.h"
#include "model/member.h"
#include "model/preset.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include "model/time.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::ports {

/// What a directory holds: the operators' configuration, the backend servers
/// that have registered themselves, and the entry processes.
enum class DirectoryTopic { Configuration, Servers, Members };
BOOST_DESCRIBE_ENUM(DirectoryTopic, Configuration, Servers, Members)

enum class DirectoryOperation {
  Read,     ///< everything of the topic, page by page
  Watch,    ///< what has changed after After_, once there is any, or at Wait_
  Announce, ///< registers Self_ among the members
  Ping      ///< an answer shows that the directory is reached; costs little
};
BOOST_DESCRIBE_ENUM(DirectoryOperation, Read, Watch, Announce, Ping)

struct DirectoryRequest {
  DirectoryOperation Operation_ = DirectoryOperation::Read;
  DirectoryTopic Topic_ = DirectoryTopic::Configuration;
  std::string Page_;        ///< Read: Next_ of the page before; empty: first
  std::uint64_t After_ = 0; ///< Watch: revision
  model::milliseconds Wait_{0};
  model::Member Self_;
};

struct ListedServer {
  model::BackendServer Server_;
  bool Leaving_ = false;
};
BOOST_DESCRIBE_STRUCT(ListedServer, (), (Server_, Leaving_))

/// An entry of a server that was read or has changed. One without a server was
/// removed, or cannot be read and names no server.
struct ServerEntry {
  std::string Name_;
  std::optional<ListedServer> Listed_;
  std::uint64_t Revision_ = 0; ///< of its last change; 0: not known
};

/// The operators' configuration as one preset.
struct ListedConfiguration {
  std::uint64_t Version_ = 0;
  model::Preset Preset_;
};

/// Code_ is Ok, StoreUnavailable, StoreTimeout (Announce may have taken
/// effect), StoreRateLimited or StoreAnswerInvalid.
struct DirectoryResponse {
  model::ResultCode Code_ = model::ResultCode::Ok;
  std::uint64_t Revision_ = 0; ///< the answer shows everything up to it
  bool HistoryGone_ = false;   ///< Watch: read again instead
  std::string Next_;           ///< Read: the next page; empty: there is none
  std::optional<ListedConfiguration> Configuration_; ///< if there is a new one
  std::vector<ServerEntry> Servers_; ///< in the order of their changes
  std::vector<model::Member> Members_;
  model::Problems Unreadable_; ///< entries left out, with the reason
};

using DirectoryHandler = std::function<void(const DirectoryResponse &)>;

/// Port to the service in which operators and backend servers publish what
/// entry processes have to know.
struct Directory {
  std::function<void(const DirectoryRequest &, DirectoryHandler)> Execute_;
};

} // namespace cumingauge::ports
