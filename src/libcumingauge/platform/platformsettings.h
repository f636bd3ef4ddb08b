#pragma once

#include "adapters/addresssettings.h"
#include "model/describe.h"
#include "model/problem.h"
#include "model/time.h"
#include <map>
#include <string>

namespace cumingauge::platform {

/// Limits set by the platform's rules that the balancer has to keep.
struct Bounds {
  /// Time after which a leaving backend server gets no new calls.
  model::milliseconds Leaving_{2000};
  /// Time from SIGTERM until the platform kills the process.
  model::seconds Grace_{6};
  double RetryRatio_ = 0.2; ///< retries per call, over the whole fleet
  double RetryBurst_ = 58;  ///< retries beyond the ratio, over the whole fleet
  /// Calls that a cold server gets within a second: its rate times
  /// ColdOvershoot_ plus ColdSlack_.
  double ColdOvershoot_ = 1;
  double ColdSlack_ = 0;
};
BOOST_DESCRIBE_STRUCT(Bounds, (),
                      (Leaving_, Grace_, RetryRatio_, RetryBurst_,
                       ColdOvershoot_, ColdSlack_))

/// Settings for the connection to the platform.
struct PlatformSettings {
  adapters::AddressSettings
      Store_; ///< address of the platform's metadata store
  Bounds Bounds_;
  std::map<std::string, std::string> Regions_; ///< of each availability zone
};
BOOST_DESCRIBE_STRUCT(PlatformSettings, (), (Store_, Bounds_, Regions_))

/// Checks the ranges of the settings. Returns one problem for each invalid
/// setting, with its path below \p Path; empty when all are valid.
model::Problems checkPlatformSettings(const PlatformSettings &Settings,
                                      const std::string &Path);

} // namespace cumingauge::platform
