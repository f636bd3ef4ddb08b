#include "control/storekeys.h"

namespace cumingauge::control {

namespace {

constexpr std::size_t VersionDigits = 20;

std::string padded(std::uint64_t Version) {
  const std::string Digits = std::to_string(Version);
  return std::string(VersionDigits - Digits.size(), '0') + Digits;
}

} // namespace

std::string entryKey(std::uint64_t Version) {
  return "cumingauge/changes/" + padded(Version);
}

std::string chunkKey(std::uint64_t Version, std::uint32_t Index) {
  return "cumingauge/snapshots/" + padded(Version) + "/" +
         std::to_string(Index);
}

} // namespace cumingauge::control
