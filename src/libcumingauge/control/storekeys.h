#pragma once

#include <cstdint>
#include <string>

/// Keys in the platform's key-value service.
namespace cumingauge::control {

/// Where the latest snapshot is; a SnapshotPointer.
constexpr const char *SnapshotPointerKey = "cumingauge/snapshot";

/// Key of a change log entry; keys sort like versions.
std::string entryKey(std::uint64_t Version);

/// Key of one chunk of a snapshot.
std::string chunkKey(std::uint64_t Version, std::uint32_t Index);

} // namespace cumingauge::control
