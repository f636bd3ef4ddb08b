#pragma once

#include "adapters/controlruntime.h"
#include "adapters/httpsettings.h"
#include "adapters/log.h"
#include "model/problem.h"

namespace cumingauge::adapters {

/// Settings file of an entry process.
struct DaemonSettings {
  ControlSettings Control_;
  AddressSettings Listen_; ///< where callers connect
  AddressSettings Admin_;  ///< health, readiness and metrics pages
  unsigned TrafficThreads_ = 2;
  HttpLimits Http_;
  LogSettings Log_;
};
BOOST_DESCRIBE_STRUCT(DaemonSettings, (),
                      (Control_, Listen_, Admin_, TrafficThreads_, Http_, Log_))

/// Range checks; empty when valid.
model::Problems checkSettings(const DaemonSettings &Settings);

} // namespace cumingauge::adapters
