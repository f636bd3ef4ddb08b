#pragma once

#include "policy/balancerstate.h"

namespace cumingauge::policy {

/// Selects the members of a service among its listed servers, and its subset,
/// anew after a server was closed or opened by its own notice.
void updateMembers(BalancerState &State, ServiceRecord &Service,
                   model::TimePoint Now);

} // namespace cumingauge::policy
