#pragma once

#include "policy/fleetplace.h"
#include <cstdint>
#include <vector>

namespace cumingauge::policy {

/// A server's place on the ring from which subsets are cut.
struct RingPlace {
  std::uint32_t Handle_ = 0;
  std::uint64_t Hash_ = 0; ///< of name and VM, the same in every process
};

/// The servers that one thread sends to, in ring order, at least one when
/// there are any. All of them when servers and threads are few. Otherwise an
/// arc whose start depends on the number of the thread only, so that a thread
/// that joins moves no other, and whose length leaves no gap while at least
/// half of the threads run.
/// \param MaxUsers of one server; kept unless there are more threads than
/// this times the servers.
std::vector<std::uint32_t> subsetOf(std::vector<RingPlace> Servers,
                                    const FleetPlace &Place,
                                    unsigned MaxUsers = UINT32_MAX);

/// The same among the servers of one availability zone for the threads of that
/// zone: few servers, so that connections to them are used again before they
/// are idle for too long.
std::vector<std::uint32_t> zoneSubsetOf(std::vector<RingPlace> Servers,
                                        const FleetPlace &Place);

} // namespace cumingauge::policy
