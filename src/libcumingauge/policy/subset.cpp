#include "policy/subset.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Services with up to this many servers are used whole where the connection
/// limit allows it.
constexpr std::size_t MaxWholeService = 64;
/// Zones with up to this many servers are used whole.
constexpr std::size_t MaxWholeZone = 12;
/// Smallest subset of a larger zone. With fewer servers, a load query less
/// often finds one at its usual pace.
constexpr std::size_t MinZoneSubset = 8;

/// Returns a value of the van der Corput sequence as a 64-bit fraction. Any
/// first n values leave gaps of less than 2/n.
std::uint64_t reversedBits(unsigned Rank) {
  std::uint64_t Out = 0;
  for (unsigned Bit = 0; Bit < 32; ++Bit)
    if (Rank >> Bit & 1)
      Out |= 1ull << (63 - Bit);
  return Out;
}

/// A range of positions on the ring; it may wrap around.
struct Arc {
  std::size_t First_ = 0;
  std::size_t Length_ = 0;
};

/// Scales a 64-bit fraction to a position among \p Count servers.
std::size_t startOf(std::uint64_t Fraction, std::size_t Count) {
  constexpr double Whole = 18446744073709551616.0; // 2^64
  return static_cast<std::size_t>(static_cast<double>(Fraction) / Whole *
                                  static_cast<double>(Count));
}

/// Returns the arc length that leaves no gap while any half of the threads run.
std::size_t wantedLength(std::size_t Count, unsigned Threads) {
  if (Count <= MaxWholeService)
    return Count;
  const std::size_t GaplessLength = 4 * Count / Threads + 2;
  return std::min(Count, std::max(GaplessLength, MaxWholeService));
}

/// Returns this thread's arc when more threads than \p MaxUsers share the
/// servers. Each server then has exactly \p MaxUsers users: an arc ends where
/// the arc of the thread that many positions further on begins.
Arc connectionLimitedArc(std::size_t Count, const ThreadRank &Rank,
                         unsigned MaxUsers) {
  std::vector<std::uint64_t> Starts(Rank.Threads_);
  for (unsigned I = 0; I < Rank.Threads_; ++I)
    Starts[I] = reversedBits(I);
  std::sort(Starts.begin(), Starts.end());
  const auto EndOf = [&](std::size_t Index) {
    const std::size_t End = Index + MaxUsers;
    return End < Starts.size()
               ? startOf(Starts[End], Count)
               : startOf(Starts[End - Starts.size()], Count) + Count;
  };
  // When the threads nearly exceed the limit, arcs may be empty; then each
  // thread uses one server.
  for (std::size_t I = 0; I < Starts.size(); ++I)
    if (EndOf(I) <= startOf(Starts[I], Count))
      return {Rank.Rank_ % Count, 1};
  const std::uint64_t Own = reversedBits(Rank.Rank_);
  const auto Index = static_cast<std::size_t>(
      std::lower_bound(Starts.begin(), Starts.end(), Own) - Starts.begin());
  const std::size_t First = startOf(Own, Count);
  return {First, EndOf(Index) - First};
}

/// Returns the arc of one thread, within the limit on threads per server.
Arc arcOf(std::size_t Count, const ThreadRank &Rank, unsigned MaxUsers) {
  const std::size_t Wanted = wantedLength(Count, Rank.Threads_);
  if (Rank.Threads_ > MaxUsers) {
    const Arc Shared = connectionLimitedArc(Count, Rank, MaxUsers);
    return {Shared.First_, std::min(Shared.Length_, Wanted)};
  }
  if (Wanted == Count)
    return {0, Count};
  return {startOf(reversedBits(Rank.Rank_), Count), Wanted};
}

/// Returns the servers of an arc, in ring order.
std::vector<std::uint32_t> serversIn(std::vector<RingEntry> Servers,
                                     const Arc &Span) {
  std::sort(Servers.begin(), Servers.end(),
            [](const RingEntry &Left, const RingEntry &Right) {
              return Left.Hash_ != Right.Hash_ ? Left.Hash_ < Right.Hash_
                                               : Left.Handle_ < Right.Handle_;
            });
  std::vector<std::uint32_t> Out;
  Out.reserve(Span.Length_);
  for (std::size_t I = 0; I < Span.Length_; ++I)
    Out.push_back(Servers[(Span.First_ + I) % Servers.size()].Handle_);
  return Out;
}

} // namespace

std::vector<std::uint32_t> zoneSubsetOf(std::vector<RingEntry> Servers,
                                        const ThreadRank &Rank) {
  const std::size_t Count = Servers.size();
  if (Count == 0)
    return {};
  const unsigned Threads = std::max(Rank.Threads_, 1u);
  const std::size_t GaplessLength = 4 * Count / Threads + 2;
  const std::size_t Length =
      std::min(Count, std::max(GaplessLength, MinZoneSubset));
  if (Count <= MaxWholeZone || Length == Count)
    return serversIn(std::move(Servers), {0, Count});
  return serversIn(
      std::move(Servers),
      {startOf(reversedBits(Rank.Rank_ % Threads), Count), Length});
}

std::vector<std::uint32_t> subsetOf(std::vector<RingEntry> Servers,
                                    const ThreadRank &Rank, unsigned MaxUsers) {
  if (Servers.empty())
    return {};
  const unsigned Threads = std::max(Rank.Threads_, 1u);
  // The rank may be too high for a short time while the fleet changes.
  const ThreadRank Known{Threads, Rank.Rank_ % Threads};
  // Arcs are counted in servers, not in hash distance, so that all threads get
  // equal shares.
  const Arc Span = arcOf(Servers.size(), Known, MaxUsers);
  return serversIn(std::move(Servers), Span);
}

} // namespace cumingauge::policy
