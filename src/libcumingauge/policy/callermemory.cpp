#include "policy/callermemory.h"
#include <algorithm>
#include <numeric>

namespace cumingauge::policy {

namespace {

constexpr std::uint64_t BytesPerMb = 1000000;
/// Taken by the program itself, its routes, servers and peers.
constexpr std::uint64_t ProcessMb = 44;
/// Part of the rest that callers may hold. The allocator and the kernel take
/// more than what is counted.
constexpr double CallerShare = 0.7;
constexpr double PipeliningShare = 0.5;
constexpr double RelievedShare = 0.8;
constexpr double FullShare = 1.15;
constexpr std::uint64_t LeastMb = 1;

std::uint64_t part(std::uint64_t Whole, double Share) {
  return static_cast<std::uint64_t>(static_cast<double>(Whole) * Share);
}

double byteSeconds(const CallerHolding &Holding) {
  return static_cast<double>(Holding.Bytes_) *
         std::chrono::duration<double>(Holding.Since_).count();
}

/// Returns the connections of one use, those that have held most for longest
/// first.
std::vector<std::size_t> sortedByUse(const std::vector<CallerHolding> &Holdings,
                                     CallerUse Use) {
  std::vector<std::size_t> Out;
  for (std::size_t I = 0; I < Holdings.size(); ++I)
    if (Holdings[I].Use_ == Use)
      Out.push_back(I);
  std::sort(Out.begin(), Out.end(), [&](std::size_t A, std::size_t B) {
    return byteSeconds(Holdings[A]) > byteSeconds(Holdings[B]);
  });
  return Out;
}

} // namespace

CallerMemoryMarks callerMemoryMarks(unsigned MemoryMb) {
  const std::uint64_t Rest =
      MemoryMb > ProcessMb + LeastMb ? MemoryMb - ProcessMb : LeastMb;
  const std::uint64_t Bound = part(Rest * BytesPerMb, CallerShare);
  return {part(Bound, PipeliningShare), part(Bound, RelievedShare), Bound,
          part(Bound, FullShare)};
}

bool canStartPipelinedCall(const CallerMemoryMarks &Marks, std::uint64_t Held) {
  return Held <= Marks.Pipelining_;
}

bool canTakeRequest(const CallerMemoryMarks &Marks, std::uint64_t Held) {
  return Held <= Marks.Full_;
}

std::vector<std::size_t>
chooseEvictions(const CallerMemoryMarks &Marks, std::uint64_t Held,
                const std::vector<CallerHolding> &Holdings) {
  std::vector<std::size_t> Out;
  if (Held <= Marks.Bound_)
    return Out;
  for (const CallerUse Use : {CallerUse::Unfinished, CallerUse::Unread,
                              CallerUse::Upload, CallerUse::Running}) {
    const std::uint64_t Mark =
        Use == CallerUse::Running ? Marks.Full_ : Marks.Relieved_;
    for (const std::size_t Index : sortedByUse(Holdings, Use)) {
      if (Held <= Mark)
        break;
      Out.push_back(Index);
      Held -= std::min(Held, Holdings[Index].Bytes_);
    }
  }
  return Out;
}

} // namespace cumingauge::policy
