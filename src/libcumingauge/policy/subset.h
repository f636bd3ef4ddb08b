#pragma once

#include <cstdint>
#include <vector>

namespace cumingauge::policy {

/// A server's place on the ring from which subsets are cut.
struct RingPlace {
  std::uint32_t Handle_ = 0;
  std::uint64_t Hash_ = 0; ///< of name and VM, the same in every process
};

/// The servers that one process sends to, in ring order. All of them when
/// there are few. Otherwise an arc whose start depends on the rank only, so
/// that a process that joins moves no other, and whose length leaves no gap
/// while the fleet is at least half of \p FleetSize.
std::vector<std::uint32_t> subsetOf(std::vector<RingPlace> Servers,
                                    unsigned FleetSize, unsigned FleetRank);

} // namespace cumingauge::policy
