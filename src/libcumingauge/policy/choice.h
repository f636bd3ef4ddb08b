#pragma once

#include "policy/balancerstate.h"

namespace cumingauge::policy {

/// Which servers count as usable for a call.
enum class Capacity {
  Any,      ///< not even a full server is left out
  NotFull,  ///< not far over the fleet's limit by the estimate
  Room,     ///< below the fleet's limit by the estimate
  FreeSlot, ///< the call is expected to start at once
};

/// What is asked of the choice.
struct ChoiceRequest {
  const CallFacts &Call_;
  Capacity Capacity_ = Capacity::NotFull;
  bool MayRepeat_ = true; ///< a server of an earlier attempt will do at last
};

struct Choice {
  ServerHandle Server_ = NoServer;
  ChoiceReason Reason_ = ChoiceReason::ByMethod;
};

/// Chooses a server of the service by the preset's method. In this order: a
/// usable one not tried before; a usable one; an ejected one when there is no
/// other at all.
Choice chooseServer(BalancerState &State, ServiceRecord &Service,
                    const ChoiceRequest &Request, model::TimePoint Now);

/// Calls expected to be at the server now, running and waiting.
BacklogEstimate backlogOf(const BalancerState &State,
                          const ServiceRecord &Service,
                          const ServerRecord &Server, model::TimePoint Now);

/// Brings the standing of ejected servers up to date.
void refreshStandings(BalancerState &State, ServiceRecord &Service,
                      model::TimePoint Now);

} // namespace cumingauge::policy
