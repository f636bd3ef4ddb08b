#include "adapters/latestevents.h"
#include "adapters/peercodec.h"
#include <iterator>

namespace cumingauge::adapters {

namespace {

/// Upper bound of an encoded event without its texts: keys, numbers, names of
/// kind and reason.
constexpr std::size_t EventBytesBesideTexts = 200;

std::size_t encodedBytes(const model::Event &Value) {
  return EventBytesBesideTexts + Value.Process_.size() + Value.Subject_.size() +
         Value.Detail_.size();
}

} // namespace

control::TimelineReply latestEvents(const EventRing &Ring,
                                    std::uint64_t SinceMs) {
  control::TimelineReply Out{Ring.since(SinceMs), Ring.dropped()};
  std::size_t Bytes = 0;
  auto First = Out.Events_.end();
  while (First != Out.Events_.begin()) {
    Bytes += encodedBytes(*std::prev(First));
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
