#pragma once

#include "adapters/controlruntime.h"
#include "adapters/httpsettings.h"
#include "adapters/log.h"
#include "model/problem.h"
#include "platform/platformsettings.h"
#include <optional>

namespace cumingauge {

/// Contents of the settings file of an entry process.
struct DaemonSettings {
  adapters::ControlSettings Control_;
  adapters::AddressSettings Listen_; ///< address that callers connect to
  adapters::AddressSettings
      Admin_; ///< address of the health, readiness and metrics pages
  unsigned TrafficThreads_ = 2;
  adapters::HttpLimits Http_;
  adapters::LogSettings Log_;
  /// When set, the configuration is read from the platform's metadata store,
  /// and the platform's HTTP header fields are used.
  std::optional<platform::PlatformSettings> Platform_;
  /// Policy values of every preset made from the platform's configuration,
  /// which does not contain them.
  model::Preset Policy_;
};
BOOST_DESCRIBE_STRUCT(DaemonSettings, (),
                      (Control_, Listen_, Admin_, TrafficThreads_, Http_, Log_,
                       Platform_, Policy_))

/// Returns the settings with the values that follow from the platform's bounds:
/// the leaving bound, the drain timeout and the retry budget. Returns them
/// unchanged without platform settings.
DaemonSettings withPlatformBounds(DaemonSettings Settings);

/// Checks the ranges of the settings. Returns one problem for each invalid
/// setting; empty when all are valid.
model::Problems checkSettings(const DaemonSettings &Settings);

} // namespace cumingauge
