#include "daemonsettings.h"
#include <boost/asio/ip/address.hpp>

namespace cumingauge {

namespace {

constexpr unsigned MaxTrafficThreads = 256;
/// Part of the platform's grace period kept for the announcement to the fleet
/// and the end of the threads, after the drain of the calls in flight.
constexpr model::milliseconds ShutdownReserve{600};
/// Share of the platform's retry budget that the fleet uses. The rest is a
/// reserve for processes that have not connected to their peers yet.
constexpr double RetryBudgetShare = 0.8;

void append(model::Problems &To, const model::Problems &From) {
  To.insert(To.end(), From.begin(), From.end());
}

void checkAddress(const adapters::AddressSettings &Address,
                  const std::string &Path, model::Problems &Found) {
  boost::system::error_code Error;
  boost::asio::ip::make_address(Address.Host_, Error);
  if (Error)
    Found.push_back({Path + "/host", "must be an IP address"});
}

} // namespace

DaemonSettings withPlatformBounds(DaemonSettings Settings) {
  if (!Settings.Platform_)
    return Settings;
  const platform::Bounds &Bounds = Settings.Platform_->Bounds_;
  Settings.Control_.LeavingBound_ = Bounds.Leaving_;
  Settings.Http_.DrainTimeout_ = Bounds.Grace_ - ShutdownReserve;
  Settings.Policy_.Retry_.Ratio_ = RetryBudgetShare * Bounds.RetryRatio_;
  Settings.Policy_.Retry_.Burst_ = RetryBudgetShare * Bounds.RetryBurst_;
  Settings.Policy_.Regions_ = Settings.Platform_->Regions_;
  Settings.Policy_.Cold_ = {Bounds.ColdOvershoot_, Bounds.ColdSlack_};
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
