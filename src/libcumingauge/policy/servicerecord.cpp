#include "policy/servicerecord.h"
#include <algorithm>

namespace cumingauge::policy {

RouteLatency &latencyOf(ServiceRecord &Service, const std::string &Route) {
  for (RouteLatency &Record : Service.Routes_)
    if (Record.Route_ == Route)
      return Record;
  Service.Routes_.push_back({Route, 0, 0, 0});
  return Service.Routes_.back();
}

const RouteLatency *findLatency(const ServiceRecord &Service,
                                const std::string &Route) {
  for (const RouteLatency &Record : Service.Routes_)
    if (Record.Route_ == Route)
      return &Record;
  return nullptr;
}

} // namespace cumingauge::policy
