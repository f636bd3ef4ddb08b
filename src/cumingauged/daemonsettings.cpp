#include "daemonsettings.h"
#include <boost/asio/ip/address.hpp>

namespace cumingauge::daemon {

namespace {

constexpr unsigned MaxTrafficThreads = 64;

void checkAddress(const adapters::AddressSettings &Address,
                  const std::string &Path, model::Problems &Found) {
  boost::system::error_code Error;
  boost::asio::ip::make_address(Address.Host_, Error);
  if (Error)
    Found.push_back({Path + "/host", "must be an IP number"});
}

} // namespace

model::Problems checkSettings(const DaemonSettings &Settings) {
  model::Problems Found =
      adapters::checkControlSettings(Settings.Control_, "/control");
  checkAddress(Settings.Listen_, "/listen", Found);
  checkAddress(Settings.Admin_, "/admin", Found);
  if (Settings.TrafficThreads_ < 1 ||
      Settings.TrafficThreads_ > MaxTrafficThreads)
    Found.push_back({"/trafficThreads", "must be between 1 and 64"});
  const model::Problems Http =
      adapters::checkHttpLimits(Settings.Http_, "/http");
  Found.insert(Found.end(), Http.begin(), Http.end());
  return Found;
}

} // namespace cumingauge::daemon
