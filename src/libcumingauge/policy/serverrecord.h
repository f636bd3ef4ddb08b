#pragma once

#include "model/backendserver.h"
#include "model/loadreport.h"
#include "model/time.h"
#include <cstdint>

namespace cumingauge::policy {

/// What one traffic thread knows of one backend server.
struct ServerRecord {
  model::BackendServer Server_;
  std::uint32_t Service_ = 0; ///< place in the list of services
  bool Present_ = false;      ///< is in the view
  bool Leaving_ = false;
  unsigned InFlight_ = 0; ///< own attempts under way
};

} // namespace cumingauge::policy
