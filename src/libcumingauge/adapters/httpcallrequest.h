#pragma once

#include "model/route.h"
#include "model/time.h"
#include "traffic/messagehead.h"
#include <memory>
#include <string>

namespace cumingauge::adapters {

/// A request as the session of its caller has read it.
struct HttpCallRequest {
  traffic::RequestHead Head_;
  std::shared_ptr<const model::Route> Route_;
  std::string Kept_;         ///< the whole body, or its beginning
  bool BodyComplete_ = true; ///< else the rest is pulled from the session
  std::string Caller_;       ///< who the call is charged to
  model::TimePoint Arrived_;
  model::TimePoint Deadline_;
};

} // namespace cumingauge::adapters
