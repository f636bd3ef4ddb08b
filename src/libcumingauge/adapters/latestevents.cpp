#include "adapters/latestevents.h"
#include "adapters/peercodec.h"
#include <iterator>

namespace cumingauge::adapters {

namespace {

/// Upper bound in bytes of an encoded event without its texts, which is the
/// size of its keys, its numbers and the names of its kind and reason.
constexpr std::size_t MaxEventBytesWithoutTexts = 200;

std::size_t maxEncodedBytes(const model::Event &Value) {
  return MaxEventBytesWithoutTexts + Value.Process_.size() +
         Value.Subject_.size() + Value.Detail_.size();
}

} // namespace

control::TimelineReply latestEvents(const EventRing &Ring,
                                    std::uint64_t SinceMs) {
  control::TimelineReply Out{Ring.since(SinceMs), Ring.dropped()};
  std::size_t Bytes = 0;
  auto First = Out.Events_.end();
  while (First != Out.Events_.begin()) {
    Bytes += maxEncodedBytes(*std::prev(First));
    if (Bytes > MaxPeerMessageBytes)
      break;
    --First;
  }
  Out.Dropped_ +=
      static_cast<std::uint64_t>(std::distance(Out.Events_.begin(), First));
  Out.Events_.erase(Out.Events_.begin(), First);
  return Out;
}

} // namespace cumingauge::adapters
