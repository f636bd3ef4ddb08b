#pragma once

#include "policy/balancerstate.h"
#include <optional>

/// Load queries: asking servers for their load right before a call is
/// dispatched. On VMs whose speed changes many times a second, any older report
/// misleads.
namespace cumingauge::policy {

/// Rounds of load queries. Each round is sent only when the one before has
/// found no server that is expected to answer at about the mean time. Queries
/// to other zones come last because they cost the most.
enum class LoadQueryRound { OwnZone, RestOfZone, OtherZones };

/// Returns the round after \p Round, or nothing after the last.
std::optional<LoadQueryRound> nextQueryRound(LoadQueryRound Round);

/// Returns the servers to query now for a call that has just arrived, and
/// records the queries.
std::vector<ServerHandle> serversToQuery(BalancerState &State,
                                         const CallFacts &Call,
                                         LoadQueryRound Round,
                                         model::TimePoint Now);

/// Returns whether a server of the own zone is expected to answer the call at
/// about the mean time. Without servers there, those of other zones count.
bool hasResponsiveServerInZone(const BalancerState &State,
                               const CallFacts &Call, model::TimePoint Now);

} // namespace cumingauge::policy
