#include "policy/callerconnections.h"
#include <algorithm>
#include <limits>

namespace cumingauge::policy {

namespace {

constexpr std::uint64_t FileDescriptors = 200;
/// Of the descriptors that are not for files.
constexpr double CallerShare = 0.75;
/// Above this number of connections the kernel's buffers are kept small.
constexpr unsigned ConnectionsWithLargeBuffers = 128;
/// Holds most requests whole.
constexpr unsigned SmallReceiveBytes = 16384;
/// Longer than most requests take to arrive.
constexpr model::seconds UnfinishedTime{1};

std::optional<std::size_t> longestOf(const std::vector<CallerHolding> &Holdings,
                                     CallerUse Use, model::Duration Least) {
  std::optional<std::size_t> Out;
  for (std::size_t I = 0; I < Holdings.size(); ++I)
    if (Holdings[I].Use_ == Use && Holdings[I].Since_ >= Least &&
        (!Out || Holdings[I].Since_ > Holdings[*Out].Since_))
      Out = I;
  return Out;
}

} // namespace

unsigned callerConnectionLimit(std::uint64_t Descriptors) {
  const std::uint64_t Sockets =
      Descriptors > FileDescriptors ? Descriptors - FileDescriptors : 0;
  const auto Share =
      static_cast<std::uint64_t>(static_cast<double>(Sockets) * CallerShare);
  // With very few descriptors, few are needed for files.
  return static_cast<unsigned>(std::min<std::uint64_t>(
      std::max(Share, Descriptors / 2), std::numeric_limits<unsigned>::max()));
}

std::optional<unsigned> receiveBufferBytes(unsigned Open) {
  if (Open <= ConnectionsWithLargeBuffers)
    return std::nullopt;
  return SmallReceiveBytes;
}

std::optional<std::size_t>
chooseToDisplace(const std::vector<CallerHolding> &Holdings) {
  const auto Idle =
      longestOf(Holdings, CallerUse::Idle, model::Duration::zero());
  return Idle ? Idle
              : longestOf(Holdings, CallerUse::Unfinished, UnfinishedTime);
}

} // namespace cumingauge::policy
