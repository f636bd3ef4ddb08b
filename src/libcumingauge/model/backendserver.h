#pragma once

#include "model/describe.h"
#include "model/time.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// One target of a service. The VM name tells a replaced server from the one
/// that had its name or address before.
struct BackendServer {
  std::string Name_;
  std::string Vm_; ///< identity of the VM in the platform's list
  std::string Service_;
  std::string Zone_; ///< availability zone
  std::string Host_; ///< IP number
  std::uint16_t Port_ = 0;
  unsigned Slots_ = 1;      ///< calls that it runs at the same time
  milliseconds ColdFor_{0}; ///< how long it stays slow after it was listed
};
BOOST_DESCRIBE_STRUCT(BackendServer, (),
                      (Name_, Vm_, Service_, Zone_, Host_, Port_, Slots_,
                       ColdFor_))

} // namespace cumingauge::model
