#pragma once

#include "model/describe.h"
#include "model/time.h"
#include <cstdint>

namespace cumingauge::model {

/// Load that a backend server reports about itself, in a header of a response
/// to a call or to a probe.
struct LoadReport {
  unsigned InFlight_ = 0; ///< calls that it is running
  unsigned Queued_ = 0;   ///< calls waiting at the server
  unsigned Slots_ = 0;    ///< 0 when not reported
  milliseconds Age_{0};   ///< age of the values when they were sent
  bool Draining_ = false;
  bool Cold_ = false;
  /// Current service time in percent of the usual one.
  unsigned PacePercent_ = 100;
};
BOOST_DESCRIBE_STRUCT(LoadReport, (),
                      (InFlight_, Queued_, Slots_, Age_, Draining_, Cold_,
                       PacePercent_))

} // namespace cumingauge::model
