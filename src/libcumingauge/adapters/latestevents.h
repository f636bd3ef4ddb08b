#pragma once

#include "adapters/eventring.h"
#include "control/peermessage.h"
#include <cstdint>

namespace cumingauge::adapters {

/// Returns the latest events since \p SinceMs (ms since 1970-01-01 UTC), as
/// many as fit into one message on a peer link. Older events are counted as
/// dropped.
control::TimelineReply latestEvents(const EventRing &Ring,
                                    std::uint64_t SinceMs);

} // namespace cumingauge::adapters
