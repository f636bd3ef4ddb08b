#pragma once

#include "model/backendserver.h"
#include "model/preset.h"
#include <cstdint>
#include <string>
#include <variant>

namespace cumingauge::model {

/// Adds a preset or replaces the one of the same name.
struct PutPreset {
  static constexpr const char *Kind = "putPreset";
  Preset Preset_;
};
BOOST_DESCRIBE_STRUCT(PutPreset, (), (Preset_))

/// Selects the preset that is in force.
struct ChoosePreset {
  static constexpr const char *Kind = "choosePreset";
  std::string Name_;
};
BOOST_DESCRIBE_STRUCT(ChoosePreset, (), (Name_))

/// Adds a backend server or replaces the one of the same name.
struct PutServer {
  static constexpr const char *Kind = "putServer";
  BackendServer Server_;
};
BOOST_DESCRIBE_STRUCT(PutServer, (), (Server_))

/// Adds or replaces many backend servers at once.
struct PutServers {
  static constexpr const char *Kind = "putServers";
  std::vector<BackendServer> Servers_;
};
BOOST_DESCRIBE_STRUCT(PutServers, (), (Servers_))

/// Removes a backend server from the configuration.
struct RemoveServer {
  static constexpr const char *Kind = "removeServer";
  std::string Name_;
};
BOOST_DESCRIBE_STRUCT(RemoveServer, (), (Name_))

/// Marks a backend server as leaving. The mark applies to this VM only: a
/// replacement of the same name on another VM is not leaving.
struct MarkLeaving {
  static constexpr const char *Kind = "markLeaving";
  std::string Name_;
  std::string Vm_;
};
BOOST_DESCRIBE_STRUCT(MarkLeaving, (), (Name_, Vm_))

/// Removes the leaving mark of a backend server.
struct ReturnServer {
  static constexpr const char *Kind = "returnServer";
  std::string Name_;
  std::string Vm_;
};
BOOST_DESCRIBE_STRUCT(ReturnServer, (), (Name_, Vm_))

/// Takes the servers of an availability zone out of use.
struct EvacuateZone {
  static constexpr const char *Kind = "evacuateZone";
  std::string Zone_;
};
BOOST_DESCRIBE_STRUCT(EvacuateZone, (), (Zone_))

/// Takes the servers of an evacuated availability zone back into use.
struct ReturnZone {
  static constexpr const char *Kind = "returnZone";
  std::string Zone_;
};
BOOST_DESCRIBE_STRUCT(ReturnZone, (), (Zone_))

using ChangeAction =
    std::variant<PutPreset, ChoosePreset, PutServer, PutServers, RemoveServer,
                 MarkLeaving, ReturnServer, EvacuateZone, ReturnZone>;

/// One entry of the change log. Versions count the entries, starting with 1.
struct Change {
  std::string Id_; ///< unique; chosen by the writer before its first attempt
  std::string Author_;
  std::uint64_t Version_ = 0;
  std::uint64_t AcceptedAtMs_ = 0; ///< writer's wall clock, ms since 1970
  ChangeAction Action_;
  /// LogDigest_ of the state that this change was written on top of. Digests
  /// are chained, so comparing one entry compares the whole log before it.
  std::uint64_t BasisDigest_ = 0;
};
BOOST_DESCRIBE_STRUCT(Change, (),
                      (Id_, Author_, Version_, AcceptedAtMs_, Action_,
                       BasisDigest_))

} // namespace cumingauge::model
