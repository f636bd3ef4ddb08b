#pragma once

#include <cstdint>
#include <string_view>

namespace cumingauge::control {

/// Weight of a candidate for a key; the highest weight is chosen. When one
/// candidate goes, only the keys that it had move.
std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate);

/// Place of a name on the ring that orders the members of a zone.
std::uint64_t ringPosition(std::string_view Name);

} // namespace cumingauge::control
