#pragma once

#include "adapters/controlruntime.h"
#include "model/problem.h"
#include "model/time.h"
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Settings of cumingaugectl.
struct CtlSettings {
  adapters::AddressSettings Store_;
  /// Peer addresses of a few entry processes; the others are found in their
  /// member lists.
  std::vector<adapters::AddressSettings> Peers_;
  std::string Key_; ///< the fleet's shared key
  std::string Author_ = "operator";
  model::milliseconds ChangeTimeout_{
      10000}; ///< to learn the outcome of a change
  model::milliseconds PeerTimeout_{
      2000}; ///< for the replies of entry processes
  model::milliseconds WaitTimeout_{300000}; ///< for --wait
};
BOOST_DESCRIBE_STRUCT(CtlSettings, (),
                      (Store_, Peers_, Key_, Author_, ChangeTimeout_,
                       PeerTimeout_, WaitTimeout_))

/// Returns the settings that are out of range. Called by readSettings through
/// argument-dependent lookup.
model::Problems checkSettings(const CtlSettings &Settings);

} // namespace cumingauge::ctl
