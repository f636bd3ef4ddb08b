#pragma once

#include "model/describe.h"
#include "model/time.h"

namespace cumingauge::model {

/// What a backend server announces about itself in an answer, beside its load.
struct ServerNotice {
  bool IsLeaving_ = false;    ///< it accepts no further calls
  milliseconds Pause_{0};     ///< it wants no call for so long; 0: no pause
  milliseconds ColdFor_{0};   ///< it is cold for so long; 0: not known to be
  bool IsUnreadable_ = false; ///< a field is present, but its value is invalid
};
BOOST_DESCRIBE_STRUCT(ServerNotice, (),
                      (IsLeaving_, Pause_, ColdFor_, IsUnreadable_))

} // namespace cumingauge::model
