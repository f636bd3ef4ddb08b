#pragma once

#include "model/describe.h"
#include "model/time.h"

/// How long callers' connections stay open between two requests. A caller is
/// told a shorter time than the connection is kept, so that a request sent just
/// in time does not meet the close.
namespace cumingauge::policy {

/// What a caller was told with an answer, and the limit it was derived from.
struct IdleTerms {
  model::milliseconds Limit_{0};
  model::seconds Told_{0}; ///< 0: the limit is too short to be told
};
BOOST_DESCRIBE_STRUCT(IdleTerms, (), (Limit_, Told_))

using boost::describe::operators::operator==;

/// Returns the terms of an answer that is sent while a limit is in force.
IdleTerms idleTerms(model::milliseconds Limit);

/// Returns how long an idle connection is kept. A higher limit holds at once, a
/// lower one only for callers that were told of it.
/// \param LimitNow limit in force now.
model::milliseconds keptIdleFor(const IdleTerms &Terms,
                                model::milliseconds LimitNow);

} // namespace cumingauge::policy
