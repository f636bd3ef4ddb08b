#pragma once

#include <cstdint>
#include <string_view>

namespace cumingauge::control {

/// Returns the rendezvous hashing weight of a candidate for a key; the
/// candidate with the highest weight is chosen. When a candidate is removed,
/// only the keys assigned to it move.
std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate);

/// Returns the position of a name on the ring that orders the members of a
/// zone.
std::uint64_t ringPosition(std::string_view Name);

} // namespace cumingauge::control
