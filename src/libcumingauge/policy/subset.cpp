#include "policy/subset.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Services up to this size are used whole where connections suffice.
constexpr std::size_t WholeUpTo = 64;
/// The same for the servers of one zone, and the least number of them: a look
/// at fewer finds one at its usual pace less often.
constexpr std::size_t ZoneWholeUpTo = 12;
constexpr std::size_t ZoneSubsetLeast = 8;

/// The van der Corput sequence as a 64-bit fraction: any first n of its
/// values leave gaps of less than 2/n.
std::uint64_t reversedBits(unsigned Rank) {
  std::uint64_t Out = 0;
  for (unsigned Bit = 0; Bit < 32; ++Bit)
    if (Rank >> Bit & 1)
      Out |= 1ull << (63 - Bit);
  return Out;
}

struct Arc {
  std::size_t First_ = 0;
  std::size_t Length_ = 0;
};

std::size_t startOf(std::uint64_t Fraction, std::size_t Count) {
  constexpr double Whole = 18446744073709551616.0; // 2^64
  return static_cast<std::size_t>(static_cast<double>(Fraction) / Whole *
                                  static_cast<double>(Count));
}

/// Length for which any half of the threads leaves no gap.
std::size_t wantedLength(std::size_t Count, unsigned Deciders) {
  if (Count <= WholeUpTo)
    return Count;
  const std::size_t NoGap = 4 * Count / Deciders + 2;
  return std::min(Count, std::max(NoGap, WholeUpTo));
}

/// Arcs that give each server exactly \p MaxUsers users, which are
/// fewer than there are threads: each arc ends where the arc of the thread
/// that many places further on begins.
Arc sharedArc(std::size_t Count, const FleetPlace &Place, unsigned MaxUsers) {
  std::vector<std::uint64_t> Starts(Place.Deciders_);
  for (unsigned I = 0; I < Place.Deciders_; ++I)
    Starts[I] = reversedBits(I);
  std::sort(Starts.begin(), Starts.end());
  const auto EndOf = [&](std::size_t Index) {
    const std::size_t End = Index + MaxUsers;
    return End < Starts.size()
               ? startOf(Starts[End], Count)
               : startOf(Starts[End - Starts.size()], Count) + Count;
  };
  // Arcs may be empty where threads are nearly too many; then one server each.
  for (std::size_t I = 0; I < Starts.size(); ++I)
    if (EndOf(I) <= startOf(Starts[I], Count))
      return {Place.Place_ % Count, 1};
  const std::uint64_t Own = reversedBits(Place.Place_);
  const auto Index = static_cast<std::size_t>(
      std::lower_bound(Starts.begin(), Starts.end(), Own) - Starts.begin());
  const std::size_t First = startOf(Own, Count);
  return {First, EndOf(Index) - First};
}

Arc arcOf(std::size_t Count, const FleetPlace &Place, unsigned MaxUsers) {
  const std::size_t Wanted = wantedLength(Count, Place.Deciders_);
  if (Place.Deciders_ > MaxUsers) {
    const Arc Shared = sharedArc(Count, Place, MaxUsers);
    return {Shared.First_, std::min(Shared.Length_, Wanted)};
  }
  if (Wanted == Count)
    return {0, Count};
  return {startOf(reversedBits(Place.Place_), Count), Wanted};
}

std::vector<std::uint32_t> cut(std::vector<RingPlace> Servers, const Arc &Cut) {
  std::sort(Servers.begin(), Servers.end(),
            [](const RingPlace &Left, const RingPlace &Right) {
              return Left.Hash_ != Right.Hash_ ? Left.Hash_ < Right.Hash_
                                               : Left.Handle_ < Right.Handle_;
            });
  std::vector<std::uint32_t> Out;
  Out.reserve(Cut.Length_);
  for (std::size_t I = 0; I < Cut.Length_; ++I)
    Out.push_back(Servers[(Cut.First_ + I) % Servers.size()].Handle_);
  return Out;
}

} // namespace

std::vector<std::uint32_t> zoneSubsetOf(std::vector<RingPlace> Servers,
                                        const FleetPlace &Place) {
  const std::size_t Count = Servers.size();
  if (Count == 0)
    return {};
  const unsigned Deciders = std::max(Place.Deciders_, 1u);
  const std::size_t NoGap = 4 * Count / Deciders + 2;
  const std::size_t Length = std::min(Count, std::max(NoGap, ZoneSubsetLeast));
  if (Count <= ZoneWholeUpTo || Length == Count)
    return cut(std::move(Servers), {0, Count});
  return cut(std::move(Servers),
             {startOf(reversedBits(Place.Place_ % Deciders), Count), Length});
}

std::vector<std::uint32_t> subsetOf(std::vector<RingPlace> Servers,
                                    const FleetPlace &Place,
                                    unsigned MaxUsers) {
  if (Servers.empty())
    return {};
  const unsigned Deciders = std::max(Place.Deciders_, 1u);
  // A place may be too high for a moment while the fleet changes.
  const FleetPlace Known{Deciders, Place.Place_ % Deciders};
  // The arc counts servers, not hash distance: even shares for all threads.
  const Arc Cut = arcOf(Servers.size(), Known, MaxUsers);
  return cut(std::move(Servers), Cut);
}

} // namespace cumingauge::policy
