#pragma once

#include "model/describe.h"
#include "model/time.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// One backend server of a service. Vm_ distinguishes a server from an earlier
/// one that had the same name or address.
struct BackendServer {
  std::string Name_;
  std::string Vm_; ///< name of its VM in the platform's VM list
  std::string Service_;
  std::string Zone_; ///< availability zone
  std::string Host_; ///< IP address
  std::uint16_t Port_ = 0;
  unsigned Slots_ = 1;      ///< calls that it can run concurrently
  milliseconds ColdFor_{0}; ///< warm-up time after it was listed
  /// Changes each time that the server is seen to become cold again.
  unsigned ColdSpell_ = 0;
};
BOOST_DESCRIBE_STRUCT(BackendServer, (),
                      (Name_, Vm_, Service_, Zone_, Host_, Port_, Slots_,
                       ColdFor_, ColdSpell_))

} // namespace cumingauge::model
