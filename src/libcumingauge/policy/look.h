#pragma once

#include "policy/balancerstate.h"
#include <optional>

/// Asking servers for their load right before a call is placed. On machines
/// that change their pace many times a second, any older report misleads.
namespace cumingauge::policy {

/// Servers are asked in rounds, each only when the one before has found none
/// that would answer at about the usual time. What crosses zones comes last:
/// it costs the most.
enum class LookRound { OwnZone, RestOfZone, OtherZones };

/// The next round, if there is one.
std::optional<LookRound> nextRound(LookRound Round);

/// Servers to be asked now, for a call that has just come.
std::vector<ServerHandle> serversToLookAt(BalancerState &State,
                                          const CallFacts &Call,
                                          LookRound Round,
                                          model::TimePoint Now);

/// Whether a server of the own zone is likely to answer at the usual time.
bool hasGoodServerNear(const BalancerState &State, const CallFacts &Call,
                       model::TimePoint Now);

} // namespace cumingauge::policy
