#pragma once

#include "model/describe.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// Calls and connections that one entry process has open at one backend
/// server.
struct ServerActivity {
  std::string Server_;
  std::string Vm_;
  unsigned InFlight_ = 0;
  unsigned Connections_ = 0;
  bool Leaving_ = false;
};
BOOST_DESCRIBE_STRUCT(ServerActivity, (),
                      (Server_, Vm_, InFlight_, Connections_, Leaving_))

} // namespace cumingauge::model
