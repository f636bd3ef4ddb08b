#pragma once

#include "adapters/addresssettings.h"
#include "model/describe.h"
#include "model/problem.h"
#include "model/time.h"

namespace cumingauge::platform {

/// Bounds of the platform's rules that the product acts on.
struct Bounds {
  /// A server that leaves gets no new work after this time.
  model::milliseconds Leaving_{2000};
  /// From the signal to stop until the process is killed.
  model::seconds Grace_{6};
  double RetryRatio_ = 0.2; ///< repeats per request of the fleet
  double RetryBurst_ = 58;  ///< repeats of the fleet beyond the ratio
};
BOOST_DESCRIBE_STRUCT(Bounds, (), (Leaving_, Grace_, RetryRatio_, RetryBurst_))

/// What the platform's settings say about itself.
struct PlatformSettings {
  adapters::AddressSettings Store_; ///< its metadata store
  Bounds Bounds_;
};
BOOST_DESCRIBE_STRUCT(PlatformSettings, (), (Store_, Bounds_))

/// Range checks; empty when valid.
model::Problems checkPlatformSettings(const PlatformSettings &Settings,
                                      const std::string &Path);

} // namespace cumingauge::platform
