#pragma once

#include "control/directoryrevision.h"
#include "model/time.h"
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace cumingauge::control {

/// An update with changes that the peer has not acknowledged yet.
struct UnacknowledgedUpdate {
  std::uint64_t Number_ = 0;
  DirectoryRevision Revision_; ///< that the peer has with it
  /// Subscriber::SentChange_ before it was sent.
  std::uint64_t FormerChange_ = 0;
};

/// A peer's subscription to updates about the directory, on the side that sends
/// them.
struct Subscriber {
  /// Revision of the server list that the peer has, or will have when it has
  /// received what was sent.
  DirectoryRevision KnownRevision_;
  std::uint64_t KnownVersion_ = 0; ///< the same for the configuration
  /// Number of the last change of a server that was sent.
  std::uint64_t SentChange_ = 0;
  /// The evacuated zones that were sent last.
  std::optional<std::set<std::string>> SentZones_;
  std::uint64_t SentNumber_ = 0; ///< of the last update; 0: none was sent
  /// While it is set, no further changes are sent: when the peer has taken it,
  /// the next update carries the newest state, however much has changed.
  std::optional<UnacknowledgedUpdate> Unacknowledged_;
  bool HasWithheld_ = false; ///< changes wait for that acknowledgement
  /// Time that the peer's last subscription carried, by the peer's clock.
  std::uint64_t Asked_ = 0;
  model::TimePoint AskedAt_; ///< when that subscription was received
  /// When the topics of the last update had been confirmed; the older one of
  /// the two.
  model::TimePoint ConfirmedAt_;
  model::TimePoint UpdatedAt_; ///< when the last update was sent
};

} // namespace cumingauge::control
