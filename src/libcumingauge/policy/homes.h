#pragma once

#include "policy/balancerstate.h"

/// Routes whose calls must stay within certain regions.
namespace cumingauge::policy {

/// Returns whether a server may get calls of a route: the route has no homes,
/// or the server's zone is known to be in one of them.
bool isHome(const BalancerState &State, const model::Route &Route,
            const ServerRecord &Server);

/// Returns whether any member of the service may get calls of the route.
bool hasHomeServer(const BalancerState &State, const ServiceRecord &Service,
                   const model::Route &Route);

} // namespace cumingauge::policy
