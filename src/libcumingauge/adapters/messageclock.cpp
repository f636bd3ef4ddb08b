#include "adapters/messageclock.h"

namespace cumingauge::adapters {

namespace {

/// Returns the timestamp of a message, or null when its type has none.
model::HybridTime *findTimestamp(control::PeerMessage &Message) {
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
  if (const model::HybridTime *At = findTimestamp(Message))
    Ring_->observe(*At);
}

std::shared_ptr<const control::PeerMessage> MessageClock::stamp(
    const std::shared_ptr<const control::PeerMessage> &Message) {
  if (LastMessage_ == Message)
    return LastStamped_;
  const auto Copy = std::make_shared<control::PeerMessage>(*Message);
  if (model::HybridTime *At = findTimestamp(*Copy))
    *At = Ring_->now();
  LastMessage_ = Message;
  LastStamped_ = Copy;
  return LastStamped_;
}

} // namespace cumingauge::adapters
