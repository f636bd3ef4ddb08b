#pragma once

#include "adapters/eventring.h"
#include "control/peermessage.h"
#include <memory>

namespace cumingauge::adapters {

/// Sends and reads hybrid logical timestamps with peer messages, so that an
/// event has a later time than the events of other processes that caused it.
class MessageClock {
public:
  explicit MessageClock(std::shared_ptr<EventRing> Ring);

  /// Advances the clock of this process to at least the timestamp of a received
  /// message, if it has one.
  void observe(control::PeerMessage &Message);

  /// Returns a copy of \p Message with the current time as its timestamp, if
  /// its type has one. When the same message is sent to several links in
  /// succession, the stamped copy is reused.
  std::shared_ptr<const control::PeerMessage>
  stamp(const std::shared_ptr<const control::PeerMessage> &Message);

private:
  std::shared_ptr<EventRing> Ring_;
  std::shared_ptr<const control::PeerMessage> LastMessage_;
  std::shared_ptr<const control::PeerMessage> LastStamped_;
};

} // namespace cumingauge::adapters
