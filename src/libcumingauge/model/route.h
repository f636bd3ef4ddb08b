#pragma once

#include "model/describe.h"
#include "model/time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::model {

/// Priority of waiting calls, highest first.
enum class Priority { Urgent, Normal, Patient };
BOOST_DESCRIBE_ENUM(Priority, Urgent, Normal, Patient)

/// One of the services that share the calls of a route.
struct RoutePart {
  std::string Service_;
  double Weight_ = 1; ///< share of the calls, relative to the other parts
};
BOOST_DESCRIBE_STRUCT(RoutePart, (), (Service_, Weight_))

/// How calls whose path starts with a prefix are handled. The longest matching
/// prefix wins.
struct Route {
  std::string Name_;
  std::string PathPrefix_;
  std::string Service_;
  bool Idempotent_ = false;
  Priority Priority_ = Priority::Normal;
  milliseconds Deadline_{1000}; ///< from arrival to complete response
  /// Larger requests are answered with 413.
  std::uint64_t MaxBodyBytes_ = 16777216;
  std::string Host_;          ///< Host of the request; empty: any
  milliseconds Objective_{0}; ///< latency objective (SLO); 0: none
  unsigned MaxAttempts_ = 0; ///< servers a call may be sent to; 0: the preset's
  /// Services that share the calls; empty: only Service_.
  std::vector<RoutePart> Parts_;
  /// Regions whose servers may get the calls; empty: all.
  std::vector<std::string> Homes_;
  /// Calls need no key although the preset requires keys; absent: they do.
  std::optional<bool> Public_;
};
BOOST_DESCRIBE_STRUCT(Route, (),
                      (Name_, PathPrefix_, Service_, Idempotent_, Priority_,
                       Deadline_, MaxBodyBytes_, Host_, Objective_,
                       MaxAttempts_, Parts_, Homes_, Public_))

} // namespace cumingauge::model
