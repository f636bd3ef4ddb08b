#pragma once

#include "adapters/eventring.h"
#include "control/peermessage.h"
#include <memory>

namespace cumingauge::adapters {

/// Carries hybrid logical time on peer messages, so that events of one process
/// are later than those of another that caused them.
class MessageClock {
public:
  explicit MessageClock(std::shared_ptr<EventRing> Ring);

  /// Moves this process's clock past the sender's.
  void observe(control::PeerMessage &Message);

  /// The message with the present time, if it carries one. A message that goes
  /// to several links in a row is stamped once.
  std::shared_ptr<const control::PeerMessage>
  stamp(const std::shared_ptr<const control::PeerMessage> &Message);

private:
  std::shared_ptr<EventRing> Ring_;
  std::shared_ptr<const control::PeerMessage> LastPlain_;
  std::shared_ptr<const control::PeerMessage> LastStamped_;
};

} // namespace cumingauge::adapters
