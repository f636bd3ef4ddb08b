#pragma once

#include "model/backendserver.h"
#include "model/preset.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cumingauge::model {

/// The configuration at one version: the fold of all changes up to it.
struct ConfigState {
  std::uint64_t Version_ = 0;
  std::string PresetInForce_; ///< empty until the first one is chosen
  std::map<std::string, Preset> Presets_;
  std::map<std::string, BackendServer> Servers_;
  std::map<std::string, std::string> LeavingVms_; ///< server name to VM name
  std::vector<std::string> RecentChangeIds_;      ///< oldest first, bounded
  std::uint64_t LogDigest_ = 0; ///< chained hash of all changes up to Version_
};
BOOST_DESCRIBE_STRUCT(ConfigState, (),
                      (Version_, PresetInForce_, Presets_, Servers_,
                       LeavingVms_, RecentChangeIds_, LogDigest_))

/// The preset in force, or null before the first choice.
const Preset *presetInForce(const ConfigState &State);

/// True when the operators have marked this very VM of the server as leaving.
bool isMarkedLeaving(const ConfigState &State, const BackendServer &Server);

} // namespace cumingauge::model
