#include "adapters/messageclock.h"

namespace cumingauge::adapters {

namespace {

/// Where a message carries a time; null when it carries none.
model::HybridTime *findTime(control::PeerMessage &Message) {
  if (auto *Beat = std::get_if<control::Heartbeat>(&Message))
    return &Beat->At_;
  if (auto *Entries = std::get_if<control::Entries>(&Message))
    return &Entries->At_;
  return nullptr;
}

} // namespace

MessageClock::MessageClock(std::shared_ptr<EventRing> Ring)
    : Ring_(std::move(Ring)) {}

void MessageClock::observe(control::PeerMessage &Message) {
  if (const model::HybridTime *At = findTime(Message))
    Ring_->observe(*At);
}

std::shared_ptr<const control::PeerMessage> MessageClock::stamp(
    const std::shared_ptr<const control::PeerMessage> &Message) {
  if (LastPlain_ == Message)
    return LastStamped_;
  const auto Copy = std::make_shared<control::PeerMessage>(*Message);
  if (model::HybridTime *At = findTime(*Copy))
    *At = Ring_->now();
  LastPlain_ = Message;
  LastStamped_ = Copy;
  return LastStamped_;
}

} // namespace cumingauge::adapters
