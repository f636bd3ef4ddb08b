#include "adapters/controlruntime.h"
#include "adapters/peerhandshake.h"
#include <boost/asio/ip/address.hpp>

namespace cumingauge::adapters {

namespace {

constexpr model::milliseconds MinHeartbeatPeriod{50};
constexpr model::milliseconds MinFreshnessLimit{200};
constexpr model::milliseconds MinTickPeriod{1};
constexpr model::milliseconds MinLeavingBound{100};
constexpr unsigned MaxEventRingSize = 1000000;

void checkAddress(const AddressSettings &Address, const std::string &Path,
                  model::Problems &Found) {
  boost::system::error_code Failed;
  boost::asio::ip::make_address(Address.Host_, Failed);
  if (Failed)
    Found.push_back({Path + "/host", "must be an IP address"});
}

void checkDuration(model::milliseconds Value, model::milliseconds Minimum,
                   const std::string &Path, model::Problems &Found) {
  if (Value < Minimum)
    Found.push_back(
        {Path, "must be at least " + std::to_string(Minimum.count())});
}

} // namespace

model::Problems checkControlSettings(const ControlSettings &Settings,
                                     const std::string &Path) {
  model::Problems Found;
  if (Settings.Process_.empty())
    Found.push_back({Path + "/process", "must not be empty"});
  if (Settings.Zone_.empty())
    Found.push_back({Path + "/zone", "must not be empty"});
  if (Settings.Key_.size() < MinKeyBytes)
    Found.push_back(
        {Path + "/key",
         "must have at least " + std::to_string(MinKeyBytes) + " bytes"});
  checkAddress(Settings.Peer_, Path + "/peer", Found);
  checkAddress(Settings.Store_, Path + "/store", Found);
  for (std::size_t I = 0; I < Settings.SeedPeers_.size(); ++I)
    checkAddress(Settings.SeedPeers_[I],
                 Path + "/seedPeers/" + std::to_string(I), Found);
  checkDuration(Settings.FreshnessLimit_, MinFreshnessLimit,
                Path + "/freshnessLimitMs", Found);
  checkDuration(Settings.HeartbeatPeriod_, MinHeartbeatPeriod,
                Path + "/heartbeatPeriodMs", Found);
  checkDuration(Settings.TickPeriod_, MinTickPeriod, Path + "/tickPeriodMs",
                Found);
  checkDuration(Settings.LeavingBound_, MinLeavingBound,
                Path + "/leavingBoundMs", Found);
  if (Settings.EventRingSize_ == 0 ||
      Settings.EventRingSize_ > MaxEventRingSize)
    Found.push_back(
        {Path + "/eventRingSize",
         "must be between 1 and " + std::to_string(MaxEventRingSize)});
  return Found;
}

} // namespace cumingauge::adapters
