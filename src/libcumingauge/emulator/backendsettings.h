#pragma once

#include "adapters/controlruntime.h"
#include "adapters/log.h"
#include "codec/describedjson.h"
#include "emulator/behaviour.h"
#include <string>
#include <vector>

namespace cumingauge::emulator {

/// One backend server of the process.
struct ServerSettings {
  std::string Name_;
  std::string Vm_;
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0; ///< 0 picks a free port
  /// Keys of Behaviour that override the common behaviour.
  codec::Json Behaviour_ = codec::Json::object();
};
BOOST_DESCRIBE_STRUCT(ServerSettings, (),
                      (Name_, Vm_, Host_, Port_, Behaviour_))

/// Settings of the stand-in for backend servers.
struct BackendSettings {
  adapters::LogSettings Log_;
  adapters::AddressSettings
      Admin_;            ///< port for control and journals of all servers
  unsigned Threads_ = 1; ///< the servers are distributed over them
  std::uint64_t Seed_ = 1;
  std::string
      JournalFile_; ///< also gets the journals, as JSON lines; empty for none
  unsigned JournalEntries_ = 200000; ///< entries kept in memory for each server
  Behaviour Behaviour_;              ///< common to all servers
  std::vector<ServerSettings> Servers_;
};
BOOST_DESCRIBE_STRUCT(BackendSettings, (),
                      (Log_, Admin_, Threads_, Seed_, JournalFile_,
                       JournalEntries_, Behaviour_, Servers_))

/// Returns the settings that are out of range; empty when all are valid.
model::Problems checkSettings(const BackendSettings &Settings);

/// Returns the behaviour of one server: the common one, overridden by the
/// server's own keys.
Behaviour behaviourOf(const BackendSettings &Settings,
                      const ServerSettings &Server);

} // namespace cumingauge::emulator
