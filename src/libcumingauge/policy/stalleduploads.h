#pragma once

#include "model/describe.h"

namespace cumingauge::policy {

/// Calls of one thread at one service.
struct ServiceUploads {
  unsigned Running_ = 0; ///< answered now, stalled uploads included
  unsigned Stalled_ = 0; ///< uploads whose callers send nothing
  unsigned Waiting_ = 0; ///< calls in the queue
};
BOOST_DESCRIBE_STRUCT(ServiceUploads, (), (Running_, Stalled_, Waiting_))

/// Returns how many stalled uploads are given up, so that they do not hold the
/// places of calls that could run: all of them while calls wait, otherwise
/// those beyond a share of the running calls.
unsigned uploadsToGiveUp(const ServiceUploads &Uploads);

} // namespace cumingauge::policy
