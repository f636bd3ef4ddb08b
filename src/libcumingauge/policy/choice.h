#pragma once

#include "policy/balancerstate.h"
#include <vector>

namespace cumingauge::policy {

/// Chooses a server of the service by the preset's method, or NoServer when
/// none may take the call. Servers in \p Tried come last.
ServerHandle chooseServer(BalancerState &State, ServiceRecord &Service,
                          const std::vector<ServerHandle> &Tried);

} // namespace cumingauge::policy
