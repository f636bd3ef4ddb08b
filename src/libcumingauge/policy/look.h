#pragma once

#include "policy/balancerstate.h"

/// Asking servers for their load right before a call is placed. On machines
/// that change their pace many times a second, any older report misleads.
namespace cumingauge::policy {

/// Servers to be asked now, for a call that has just come. The first ones are
/// of the own zone.
/// \param Further for a second look, after the first has found no server that
/// would answer at about the usual time: servers of other zones.
std::vector<ServerHandle> serversToLookAt(BalancerState &State,
                                          const CallFacts &Call, bool Further,
                                          model::TimePoint Now);

/// Whether a server of the own zone is likely to answer at the usual time.
bool hasGoodServerNear(const BalancerState &State, const CallFacts &Call,
                       model::TimePoint Now);

} // namespace cumingauge::policy
