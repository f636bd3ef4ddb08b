#pragma once

#include "policy/callermemory.h"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace cumingauge::policy {

/// Returns how many connections of callers leave enough descriptors for files,
/// backend servers, peers and the store.
/// \param Descriptors that the process may open.
unsigned callerConnectionLimit(std::uint64_t Descriptors);

/// Returns how many bytes the kernel may receive ahead on a new connection, of
/// which nothing has been read; nothing while so few are open that the kernel
/// may decide.
/// \param Open connections of callers.
std::optional<unsigned> receiveBufferBytes(unsigned Open);

/// Chooses the connection that makes room for a new one: the one that has been
/// idle longest, or else the oldest request that is still unfinished after a
/// while.
/// \returns index into \p Holdings; nothing when none can be closed.
std::optional<std::size_t>
chooseToDisplace(const std::vector<CallerHolding> &Holdings);

} // namespace cumingauge::policy
