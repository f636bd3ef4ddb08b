#pragma once

#include "adapters/eventring.h"
#include "control/peermessage.h"
#include <cstdint>

namespace cumingauge::adapters {

/// The latest events since a wall time, as many as fit into one message on a
/// peer link; the older ones count as dropped.
control::TimelineReply latestEvents(const EventRing &Ring,
                                    std::uint64_t SinceMs);

} // namespace cumingauge::adapters
