#include "adapters/daemonsettings.h"
#include <boost/asio/ip/address.hpp>

namespace cumingauge::adapters {

namespace {

constexpr unsigned MaxTrafficThreads = 256;

void append(model::Problems &To, const model::Problems &From) {
  To.insert(To.end(), From.begin(), From.end());
}

void checkAddress(const AddressSettings &Address, const std::string &Path,
                  model::Problems &Found) {
  boost::system::error_code Error;
  boost::asio::ip::make_address(Address.Host_, Error);
  if (Error)
    Found.push_back({Path + "/host", "must be an IP number"});
}

} // namespace

model::Problems checkSettings(const DaemonSettings &Settings) {
  model::Problems Found;
  append(Found, checkControlSettings(Settings.Control_, "/control"));
  checkAddress(Settings.Listen_, "/listen", Found);
  checkAddress(Settings.Admin_, "/admin", Found);
  append(Found, checkHttpLimits(Settings.Http_, "/http"));
  if (Settings.TrafficThreads_ < 1 ||
      Settings.TrafficThreads_ > MaxTrafficThreads)
    Found.push_back({"/trafficThreads", "must be between 1 and 256"});
  return Found;
}

} // namespace cumingauge::adapters
