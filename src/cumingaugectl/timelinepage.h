#pragma once

#include "codec/describedjson.h"
#include <string>

namespace cumingauge::ctl {

/// Returns a self-contained HTML page with one lane per process.
/// \param Data object with the lists "events" and "silent" (names of processes
/// that did not answer) and the number "dropped" of events no longer kept.
std::string timelinePage(const codec::Json &Data);

} // namespace cumingauge::ctl
