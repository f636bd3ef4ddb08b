#pragma once

#include "adapters/controlruntime.h"
#include "model/problem.h"
#include "model/time.h"
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Settings of the operators' client.
struct CtlSettings {
  adapters::AddressSettings Store_;
  /// Peer addresses of a few entry processes; the others are learnt from them.
  std::vector<adapters::AddressSettings> Peers_;
  std::string Key_; ///< the fleet's shared key
  std::string Author_ = "operator";
  model::milliseconds ChangeTimeout_{10000}; ///< for a definite outcome
  model::milliseconds PeerTimeout_{2000};    ///< for an entry process's answer
  model::milliseconds WaitTimeout_{300000};  ///< for --wait
};
BOOST_DESCRIBE_STRUCT(CtlSettings, (),
                      (Store_, Peers_, Key_, Author_, ChangeTimeout_,
                       PeerTimeout_, WaitTimeout_))

/// Range checks; found by readSettings.
model::Problems checkSettings(const CtlSettings &Settings);

} // namespace cumingauge::ctl
