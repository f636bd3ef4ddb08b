#pragma once

#include "control/core.h"
#include "model/time.h"
#include <cstdint>
#include <optional>
#include <string>

namespace cumingauge::control {

/// A poll of one topic: a call that returns the changes after a revision
/// without waiting for any.
struct DirectoryPoll {
  StoreCallId Call_ = 0;    ///< 0: no poll in flight
  std::uint64_t After_ = 0; ///< revision after which changes are requested
  model::TimePoint IssuedAt_;
  model::TimePoint NextAt_;
  unsigned Unanswered_ = 0; ///< consecutive polls without a response
};

/// State of the calls about one topic of the directory. At most one call is in
/// flight, and besides it one poll.
struct DirectoryFeed {
  StoreCallId Call_ = 0; ///< 0: no call in flight
  model::TimePoint IssuedAt_;
  /// Time that the directory may wait before it responds; zero but for watches.
  model::Duration Wait_{0};
  model::TimePoint NextAt_;
  unsigned Failures_ = 0;   ///< consecutive failures
  unsigned Unanswered_ = 0; ///< consecutive calls without a response
  DirectoryPoll Poll_;
  /// Revision up to which all changes are known; 0: the whole topic must be
  /// read.
  std::uint64_t Revision_ = 0;
  bool Read_ = false; ///< the topic was read at least once
  /// Time as of which calls of this process have shown that no change is
  /// missing: when the call was issued that covers all changes until then.
  model::TimePoint ConfirmedAt_;
  /// The same for calls of a peer.
  std::optional<model::TimePoint> PeerConfirmedAt_;
  std::string PeerProcess_; ///< the peer that has set PeerConfirmedAt_
};

} // namespace cumingauge::control
