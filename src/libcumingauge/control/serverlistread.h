#pragma once

#include "model/time.h"
#include "ports/directory.h"
#include <cstdint>
#include <map>
#include <string>

namespace cumingauge::control {

/// A read of the whole list of servers, which the directory returns in pages.
/// The pages are valid only while they follow each other without a pause.
struct ServerListRead {
  std::map<std::string, ports::ServerEntry> Entries_;
  std::string NextPage_;         ///< empty until the first page has arrived
  std::uint64_t Revision_ = 0;   ///< of the first page
  model::TimePoint RequestedAt_; ///< when the first page was requested
};

} // namespace cumingauge::control
