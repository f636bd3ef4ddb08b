#pragma once

#include "policy/balancerstate.h"

/// Whether a call goes at once, waits or is refused.
namespace cumingauge::policy {

/// Sends the call to a server when the limits let it go now, and counts it as
/// in flight; else NoServer.
ServerHandle tryDispatch(BalancerState &State, ServiceRecord &Service,
                         const CallFacts &Call, model::TimePoint Now);

/// Whether the call would be answered too late for its route's objective
/// wherever it went, since all servers that were heard of just now are busy.
bool isHopeless(const BalancerState &State, const ServiceRecord &Service,
                const CallFacts &Call, model::TimePoint Now);

/// Puts the call into the queue, or refuses it when it cannot be served in
/// time or the queue has no place for it.
Decision enqueue(BalancerState &State, ServiceRecord &Service,
                 const CallFacts &Call, model::TimePoint Now);

/// Moves calls of one service's queue on.
void releaseFrom(BalancerState &State, ServiceRecord &Service,
                 model::TimePoint Now, std::vector<Release> &Out);

/// Counts an attempt as in flight.
void noteDispatch(BalancerState &State, ServiceRecord &Service,
                  const CallFacts &Call, ServerHandle Server,
                  model::TimePoint Now);

/// Shortest time that a call of this route is expected to take.
model::Duration leastTime(const ServiceRecord &Service, const CallFacts &Call);

/// Calls that this thread may have in flight to the service.
unsigned shareOf(const BalancerState &State, const ServiceRecord &Service);

} // namespace cumingauge::policy
