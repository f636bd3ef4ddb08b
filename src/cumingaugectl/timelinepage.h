#pragma once

#include "codec/describedjson.h"
#include <string>

namespace cumingauge::ctl {

/// One self-contained HTML page with a lane per process.
/// \param Data object with the lists "events" and "silent".
std::string timelinePage(const codec::Json &Data);

} // namespace cumingauge::ctl
