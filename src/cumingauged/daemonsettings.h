#pragma once

#include "adapters/controlruntime.h"
#include "adapters/httpsettings.h"
#include "adapters/log.h"
#include "model/problem.h"
#include "platform/platformsettings.h"
#include <optional>

namespace cumingauge {

/// Settings file of an entry process.
struct DaemonSettings {
  adapters::ControlSettings Control_;
  adapters::AddressSettings Listen_; ///< where callers connect
  adapters::AddressSettings Admin_;  ///< health, readiness and metrics pages
  unsigned TrafficThreads_ = 2;
  adapters::HttpLimits Http_;
  adapters::LogSettings Log_;
  /// When set, the configuration comes from the platform and its header fields
  /// are spoken.
  std::optional<platform::PlatformSettings> Platform_;
  /// Policy values of every preset that comes from the platform.
  model::Preset Policy_;
};
BOOST_DESCRIBE_STRUCT(DaemonSettings, (),
                      (Control_, Listen_, Admin_, TrafficThreads_, Http_, Log_,
                       Platform_, Policy_))

/// The settings with what the platform's bounds say instead.
DaemonSettings withPlatformBounds(DaemonSettings Settings);

/// Range checks; empty when valid.
model::Problems checkSettings(const DaemonSettings &Settings);

} // namespace cumingauge
