#pragma once

#include "model/describe.h"
#include "model/time.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// Order in which waiting calls are served.
enum class Priority { Urgent, Normal, Patient };
BOOST_DESCRIBE_ENUM(Priority, Urgent, Normal, Patient)

/// How calls whose path starts with a prefix are handled. The longest prefix
/// wins.
struct Route {
  std::string Name_;
  std::string PathPrefix_;
  std::string Service_;
  bool Idempotent_ = false;
  Priority Priority_ = Priority::Normal;
  milliseconds Deadline_{1000};           ///< from arrival to whole answer
  std::uint64_t MaxBodyBytes_ = 16777216; ///< larger requests get 413
};
BOOST_DESCRIBE_STRUCT(Route, (),
                      (Name_, PathPrefix_, Service_, Idempotent_, Priority_,
                       Deadline_, MaxBodyBytes_))

} // namespace cumingauge::model
