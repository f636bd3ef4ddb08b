#pragma once

#include <cstdint>
#include <string>

/// Keys of the values in the platform's key-value service.
namespace cumingauge::control {

/// Key of the SnapshotPointer, which names the latest snapshot.
constexpr const char *SnapshotPointerKey = "cumingauge/snapshot";

/// Returns the key of a change log entry. Keys sort in the order of versions.
std::string entryKey(std::uint64_t Version);

/// Returns the key of one chunk of a snapshot.
std::string chunkKey(std::uint64_t Version, std::uint32_t Index);

} // namespace cumingauge::control
