#pragma once

#include "adapters/httpsettings.h"
#include "model/describe.h"
#include "model/time.h"

namespace cumingauge::adapters {

using boost::describe::operators::operator==;

/// Times of a stop of the process. A request that is read before LastRequestAt_
/// gets an answer by AnswerBy_, unless one is being passed on then.
struct StopPlan {
  model::TimePoint StartedAt_;
  model::TimePoint AcceptEnd_; ///< no new connections from then on
  /// Requests are refused and idle connections closed from then on.
  model::TimePoint LastRequestAt_;
  /// Calls that have not ended by then are answered with a failure.
  model::TimePoint AnswerBy_;
  model::TimePoint End_; ///< the process ends, at the latest
};
BOOST_DESCRIBE_STRUCT(StopPlan, (),
                      (StartedAt_, AcceptEnd_, LastRequestAt_, AnswerBy_, End_))

/// Returns the times of a stop that begins now.
StopPlan planStop(const HttpLimits &Limits, model::TimePoint Now);

} // namespace cumingauge::adapters
