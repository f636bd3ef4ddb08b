#pragma once

#include "policy/threadrank.h"
#include <cstdint>
#include <vector>

namespace cumingauge::policy {

/// A server's position on the hash ring from which subsets are taken.
struct RingEntry {
  std::uint32_t Handle_ = 0;
  std::uint64_t Hash_ = 0; ///< of name and VM, the same in every process
};

/// Returns the servers that one thread sends calls to, in ring order; at least
/// one when there are any. These are all servers when servers and threads are
/// few. Otherwise they form an arc of the ring whose start depends only on the
/// thread's rank, so that a new thread moves no other thread's arc, and whose
/// length leaves no server uncovered while at least half of the threads run.
/// \param MaxUsers limit on the threads that use one server; kept unless there
/// are more threads than this limit times the servers.
std::vector<std::uint32_t> subsetOf(std::vector<RingEntry> Servers,
                                    const ThreadRank &Rank,
                                    unsigned MaxUsers = UINT32_MAX);

/// Returns the subset among the servers of one availability zone for the
/// threads of that zone. It has few servers, so that connections to them are
/// reused before they have been idle for too long.
std::vector<std::uint32_t> zoneSubsetOf(std::vector<RingEntry> Servers,
                                        const ThreadRank &Rank);

} // namespace cumingauge::policy
