#pragma once

#include "emulator/loadresult.h"
#include <string>

namespace cumingauge::emulator {

/// Plots a result as SVG: latency and calls over time, and percentile curves by
/// route. Latency axes are logarithmic, in ms.
std::string plotResult(const LoadResult &Result);

} // namespace cumingauge::emulator
