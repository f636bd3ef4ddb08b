#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::policy {

/// What one traffic thread knows of one service.
struct ServiceRecord {
  std::string Name_;
  std::vector<std::uint32_t> Members_; ///< handles that may get new work
  std::uint32_t NextInTurn_ = 0;       ///< position of the round robin
};

} // namespace cumingauge::policy
