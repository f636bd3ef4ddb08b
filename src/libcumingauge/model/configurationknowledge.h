#pragma once

#include "model/time.h"
#include <cstdint>

namespace cumingauge::model {

/// What a process knows about whether its configuration is the newest one.
struct ConfigurationKnowledge {
  std::uint64_t Version_ = 0; ///< newest version that it has accepted
  /// Time as of which no newer version existed; the epoch if that is unknown.
  TimePoint ConfirmedAt_;
  /// Until then a newer version need not be in force.
  TimePoint KnownUntil_;
};

} // namespace cumingauge::model
