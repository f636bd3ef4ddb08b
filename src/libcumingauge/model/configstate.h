#pragma once

#include "model/backendserver.h"
#include "model/preset.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cumingauge::model {

/// The configuration at one version: the result of applying all changes up to
/// that version.
struct ConfigState {
  std::uint64_t Version_ = 0;
  std::string PresetInForce_; ///< empty until the first one is chosen
  std::map<std::string, Preset> Presets_;
  std::map<std::string, BackendServer> Servers_;
  std::map<std::string, std::string> LeavingVms_; ///< server name to VM name
  /// Availability zones whose servers get no new work.
  std::set<std::string> EvacuatedZones_;
  /// Oldest first; see RecentChangeLimit.
  std::vector<std::string> RecentChangeIds_;
  std::uint64_t LogDigest_ = 0; ///< chained hash of all changes up to Version_
};
BOOST_DESCRIBE_STRUCT(ConfigState, (),
                      (Version_, PresetInForce_, Presets_, Servers_,
                       LeavingVms_, EvacuatedZones_, RecentChangeIds_,
                       LogDigest_))

/// Returns the preset in force, or null before one has been selected.
const Preset *presetInForce(const ConfigState &State);

/// Returns true when operators have evacuated the server's availability zone.
bool isEvacuated(const ConfigState &State, const BackendServer &Server);

/// Returns true when the server is marked as leaving on the VM it is on now.
bool isMarkedLeaving(const ConfigState &State, const BackendServer &Server);

} // namespace cumingauge::model
