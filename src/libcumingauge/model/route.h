#pragma once

#include "model/describe.h"
#include "model/time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::model {

/// Order in which waiting calls are served.
enum class Priority { Urgent, Normal, Patient };
BOOST_DESCRIBE_ENUM(Priority, Urgent, Normal, Patient)

/// One service among those that share the calls of a route.
struct RoutePart {
  std::string Service_;
  double Weight_ = 1; ///< share of the calls, relative to the other parts
};
BOOST_DESCRIBE_STRUCT(RoutePart, (), (Service_, Weight_))

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
  std::string Host_;                      ///< of the request; empty for any
  milliseconds Objective_{0}; ///< a later answer is worth less; 0: none
  unsigned MaxAttempts_ = 0; ///< servers a call may be sent to; 0: the preset's
  std::vector<RoutePart> Parts_; ///< share the calls; empty: all to Service_
};
BOOST_DESCRIBE_STRUCT(Route, (),
                      (Name_, PathPrefix_, Service_, Idempotent_, Priority_,
                       Deadline_, MaxBodyBytes_, Host_, Objective_,
                       MaxAttempts_, Parts_))

} // namespace cumingauge::model
