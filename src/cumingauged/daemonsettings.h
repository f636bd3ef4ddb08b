#pragma once

#include "adapters/controlruntime.h"
#include "adapters/httpsettings.h"
#include "adapters/log.h"
#include "model/describe.h"
#include "model/problem.h"

namespace cumingauge::daemon {

/// Settings of an entry process.
struct DaemonSettings {
  adapters::ControlSettings Control_;
  adapters::AddressSettings Listen_; ///< where callers are accepted
  adapters::AddressSettings Admin_;  ///< health, readiness and metrics
  unsigned TrafficThreads_ = 2;
  adapters::HttpLimits Http_;
  adapters::LogSettings Log_;
};
BOOST_DESCRIBE_STRUCT(DaemonSettings, (),
                      (Control_, Listen_, Admin_, TrafficThreads_, Http_, Log_))

/// Range checks; empty when valid.
model::Problems checkSettings(const DaemonSettings &Settings);

} // namespace cumingauge::daemon
