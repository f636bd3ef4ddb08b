#include "daemonsettings.h"
#include <boost/asio/ip/address.hpp>

namespace cumingauge {

namespace {

constexpr unsigned MaxTrafficThreads = 256;
/// Time for the goodbye to the fleet and the end of the threads.
constexpr model::milliseconds EndBeforeKill{600};
/// The rest is left for processes that have not met yet.
constexpr double UsedPartOfBudget = 0.8;

void append(model::Problems &To, const model::Problems &From) {
  To.insert(To.end(), From.begin(), From.end());
}

void checkAddress(const adapters::AddressSettings &Address,
                  const std::string &Path, model::Problems &Found) {
  boost::system::error_code Error;
  boost::asio::ip::make_address(Address.Host_, Error);
  if (Error)
    Found.push_back({Path + "/host", "must be an IP number"});
}

} // namespace

DaemonSettings withPlatformBounds(DaemonSettings Settings) {
  if (!Settings.Platform_)
    return Settings;
  const platform::Bounds &Bounds = Settings.Platform_->Bounds_;
  Settings.Control_.LeavingBound_ = Bounds.Leaving_;
  Settings.Http_.DrainTimeout_ = Bounds.Grace_ - EndBeforeKill;
  Settings.Policy_.Retry_.Ratio_ = UsedPartOfBudget * Bounds.RetryRatio_;
  Settings.Policy_.Retry_.Burst_ = UsedPartOfBudget * Bounds.RetryBurst_;
  return Settings;
}

model::Problems checkSettings(const DaemonSettings &Settings) {
  model::Problems Found;
  append(Found, checkControlSettings(Settings.Control_, "/control"));
  checkAddress(Settings.Listen_, "/listen", Found);
  checkAddress(Settings.Admin_, "/admin", Found);
  append(Found, checkHttpLimits(Settings.Http_, "/http"));
  if (Settings.Platform_)
    append(Found, checkPlatformSettings(*Settings.Platform_, "/platform"));
  if (Settings.TrafficThreads_ < 1 ||
      Settings.TrafficThreads_ > MaxTrafficThreads)
    Found.push_back({"/trafficThreads", "must be between 1 and 256"});
  return Found;
}

} // namespace cumingauge
