#pragma once

#include "policy/balancerstate.h"

namespace cumingauge::policy {

/// Which servers count as usable for a call, by their backlog.
enum class CapacityRule {
  Any,        ///< every server, even a full one
  NotFull,    ///< estimated backlog not far above the fleet's limit
  BelowLimit, ///< estimated backlog below the fleet's limit
  FreeSlot,   ///< a slot is expected to be free, so the call starts at once
};

/// Parameters of one choice.
struct ChoiceRequest {
  const CallFacts &Call_;
  CapacityRule CapacityRule_ = CapacityRule::NotFull;
  /// If no other is usable, a server of an earlier attempt may be used.
  bool AllowTried_ = true;
};

/// A chosen server, if any, and the reason that is counted for it.
struct Choice {
  ServerHandle Server_ = NoServer;
  ChoiceReason Reason_ = ChoiceReason::ByMethod;
};

/// Chooses a server of the service by the preset's method. Prefers, in this
/// order: a usable server that was not tried before; any usable server; an
/// ejected server when all servers are ejected or draining.
Choice chooseServer(BalancerState &State, ServiceRecord &Service,
                    const ChoiceRequest &Request, model::TimePoint Now);

/// Estimates the calls that are at the server now, running and waiting.
BacklogEstimate backlogOf(const BalancerState &State,
                          const ServiceRecord &Service,
                          const ServerRecord &Server, model::TimePoint Now);

/// Moves the ejected servers of a service whose time has passed to probation.
void updateEjectionStates(BalancerState &State, ServiceRecord &Service,
                          model::TimePoint Now);

} // namespace cumingauge::policy
