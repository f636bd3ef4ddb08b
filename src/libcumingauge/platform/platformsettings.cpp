#include "platform/platformsettings.h"
#include <boost/asio/ip/address.hpp>

namespace cumingauge::platform {

namespace {

constexpr model::milliseconds MinLeavingBound{100};
constexpr model::seconds MinGrace{2};

void require(bool Holds, const std::string &Path, const char *Message,
             model::Problems &Found) {
  if (!Holds)
    Found.push_back({Path, Message});
}

} // namespace

model::Problems checkPlatformSettings(const PlatformSettings &Settings,
                                      const std::string &Path) {
  model::Problems Found;
  boost::system::error_code Failed;
  boost::asio::ip::make_address(Settings.Store_.Host_, Failed);
  require(!Failed, Path + "/store/host", "must be an IP address", Found);
  const Bounds &Bounds = Settings.Bounds_;
  require(Bounds.Leaving_ >= MinLeavingBound, Path + "/bounds/leavingMs",
          "must be at least 100", Found);
  require(Bounds.Grace_ >= MinGrace, Path + "/bounds/graceS",
          "must be at least 2", Found);
  require(Bounds.RetryRatio_ >= 0 && Bounds.RetryRatio_ <= 1,
          Path + "/bounds/retryRatio", "must be between 0 and 1", Found);
  require(Bounds.RetryBurst_ >= 0, Path + "/bounds/retryBurst",
          "must not be negative", Found);
  require(Bounds.ColdOvershoot_ >= 0, Path + "/bounds/coldOvershoot",
          "must not be negative", Found);
  require(Bounds.ColdSlack_ >= 0, Path + "/bounds/coldSlack",
          "must not be negative", Found);
  return Found;
}

} // namespace cumingauge::platform
