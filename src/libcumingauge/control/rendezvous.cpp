#include "control/rendezvous.h"
#include <xxhash.h>

namespace cumingauge::control {

std::uint64_t rendezvousWeight(std::string_view Key,
                               std::string_view Candidate) {
  return XXH3_64bits_withSeed(Candidate.data(), Candidate.size(),
                              XXH3_64bits(Key.data(), Key.size()));
}

std::uint64_t ringPosition(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

} // namespace cumingauge::control
