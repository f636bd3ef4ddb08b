#pragma once

#include "policy/balancerstate.h"
#include <optional>

/// Admission control: decides whether a call is dispatched at once, queued or
/// refused.
namespace cumingauge::policy {

/// Refuses a call to a service none of whose servers may get calls. While
/// servers are paused, the caller is told when the first one is open again.
Decision refuseWithoutServer(BalancerState &State, const ServiceRecord &Service,
                             model::TimePoint Now);

/// Dispatches the call to a server when the in-flight limits allow it now, and
/// counts it as in flight. Returns NoServer otherwise.
ServerHandle tryDispatch(BalancerState &State, ServiceRecord &Service,
                         const CallFacts &Call, model::TimePoint Now);

/// Returns whether the call is expected to miss its route's latency objective
/// on every server. That needs recent reports which show that all servers of
/// the subset are busy; without any recent report the result is false.
bool isObjectiveUnreachable(const BalancerState &State,
                            const ServiceRecord &Service, const CallFacts &Call,
                            model::TimePoint Now);

/// Returns the refusal of a call that must wait but cannot be served in time,
/// or finds the queue full of calls that it may not displace.
std::optional<Decision> refuseToQueue(const BalancerState &State,
                                      const ServiceRecord &Service,
                                      const CallFacts &Call,
                                      model::TimePoint Now);

/// Queues the call, or refuses it when it cannot be served in time or the queue
/// is full.
Decision enqueue(BalancerState &State, ServiceRecord &Service,
                 const CallFacts &Call, model::TimePoint Now);

/// Dispatches the queued calls of a service that may go now, refuses those that
/// can no longer meet their deadline, and appends both to \p Out.
void releaseQueued(BalancerState &State, ServiceRecord &Service,
                   model::TimePoint Now, std::vector<Release> &Out);

/// Records an attempt as in flight on \p Server.
void recordDispatch(BalancerState &State, ServiceRecord &Service,
                    const CallFacts &Call, ServerHandle Server,
                    model::TimePoint Now);

/// Returns the shortest time that a call of this route is expected to take.
model::Duration minExpectedTime(const ServiceRecord &Service,
                                const CallFacts &Call);

/// Returns this thread's share of the calls that the fleet may have in flight
/// to the service.
unsigned inFlightShare(const BalancerState &State,
                       const ServiceRecord &Service);

} // namespace cumingauge::policy
