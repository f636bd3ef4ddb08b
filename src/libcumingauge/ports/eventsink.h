#pragma once

#include "model/event.h"
#include <functional>

namespace cumingauge::ports {

/// Records an event on the timeline; the callee adds the time and the process.
/// May be called from any thread.
using EventSink = std::function<void(
    model::EventKind Kind, std::string Subject, std::uint64_t Version,
    model::ResultCode Reason, std::string Detail)>;

} // namespace cumingauge::ports
