#pragma once

#include "model/time.h"
#include "ports/directory.h"
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace cumingauge::control {

/// A read of the configuration and the evacuated zones, which the directory
/// returns in pages.
struct ConfigurationRead {
  std::optional<ports::ListedConfiguration> Configuration_;
  std::set<std::string> Zones_;
  std::string NextPage_;         ///< empty until the first page has arrived
  std::uint64_t Revision_ = 0;   ///< of the first page
  model::TimePoint RequestedAt_; ///< when the first page was requested
};

} // namespace cumingauge::control
