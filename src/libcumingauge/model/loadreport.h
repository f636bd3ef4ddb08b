#pragma once

#include "model/describe.h"
#include "model/time.h"
#include <cstdint>

namespace cumingauge::model {

/// What a backend server says about itself, on an answer or to a probe.
struct LoadReport {
  unsigned InFlight_ = 0; ///< calls running
  unsigned Queued_ = 0;   ///< calls waiting at the server
  unsigned Slots_ = 0;    ///< 0 when the server does not say
  milliseconds Age_{0};   ///< age of the figures when they were sent
  bool Draining_ = false;
  bool Cold_ = false;
  unsigned PacePercent_ = 100; ///< time that work takes now, of the usual one
};
BOOST_DESCRIBE_STRUCT(LoadReport, (),
                      (InFlight_, Queued_, Slots_, Age_, Draining_, Cold_,
                       PacePercent_))

} // namespace cumingauge::model
