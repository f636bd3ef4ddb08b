#pragma once

#include "model/describe.h"

namespace cumingauge::model {

/// Calls that a workspace may start on the whole fleet.
struct CallQuota {
  double RequestsPerSecond_ = 0; ///< calls per second over a longer time
  double Burst_ = 0;             ///< calls at once on top of that
};
BOOST_DESCRIBE_STRUCT(CallQuota, (), (RequestsPerSecond_, Burst_))

} // namespace cumingauge::model
