#include "policy/subset.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Services up to this size are used whole.
constexpr std::size_t WholeUpTo = 64;

/// The van der Corput sequence as a 64-bit fraction: any first n of its
/// values leave gaps of less than 2/n.
std::uint64_t reversedBits(unsigned Rank) {
  std::uint64_t Out = 0;
  for (unsigned Bit = 0; Bit < 32; ++Bit)
    if (Rank >> Bit & 1)
      Out |= 1ull << (63 - Bit);
  return Out;
}

} // namespace

std::vector<std::uint32_t> subsetOf(std::vector<RingPlace> Servers,
                                    unsigned FleetSize, unsigned FleetRank) {
  std::sort(Servers.begin(), Servers.end(),
            [](const RingPlace &Left, const RingPlace &Right) {
              return Left.Hash_ != Right.Hash_ ? Left.Hash_ < Right.Hash_
                                               : Left.Handle_ < Right.Handle_;
            });
  const std::size_t Count = Servers.size();
  std::size_t First = 0;
  std::size_t Length = Count;
  if (Count > WholeUpTo) {
    // The arc counts servers, not hash distance: each process gets as many.
    First = static_cast<std::size_t>(
        static_cast<double>(reversedBits(FleetRank)) / 18446744073709551616.0 *
        static_cast<double>(Count));
    const std::size_t NoGap = 4 * Count / std::max(FleetSize, 1u) + 2;
    Length = std::min(Count, std::max(NoGap, WholeUpTo));
  }
  std::vector<std::uint32_t> Out;
  Out.reserve(Length);
  for (std::size_t I = 0; I < Length; ++I)
    Out.push_back(Servers[(First + I) % Count].Handle_);
  return Out;
}

} // namespace cumingauge::policy
