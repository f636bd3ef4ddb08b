#include "policy/homes.h"
#include <algorithm>

namespace cumingauge::policy {

bool isHome(const BalancerState &State, const model::Route &Route,
            const ServerRecord &Server) {
  if (Route.Homes_.empty())
    return true;
  const auto &Regions = State.Preset_.Regions_;
  const auto Region = Regions.find(Server.Server_.Zone_);
  return Region != Regions.end() &&
         std::find(Route.Homes_.begin(), Route.Homes_.end(), Region->second) !=
             Route.Homes_.end();
}

bool hasHomeServer(const BalancerState &State, const ServiceRecord &Service,
                   const model::Route &Route) {
  return Route.Homes_.empty() ||
         std::any_of(Service.Members_.begin(), Service.Members_.end(),
                     [&](ServerHandle Handle) {
                       return isHome(State, Route, State.Servers_[Handle]);
                     });
}

} // namespace cumingauge::policy
