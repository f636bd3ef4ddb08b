#pragma once

#include "policy/balancerstate.h"

/// What ended attempts and load reports teach about a server.
namespace cumingauge::policy {

/// One ended attempt.
struct AttemptOutcome {
  const CallFacts &Call_;
  AttemptEnd End_;
  model::Duration Latency_; ///< from dispatch to end
};

void learnFrom(BalancerState &State, ServiceRecord &Service,
               ServerRecord &Server, const AttemptOutcome &Outcome,
               model::TimePoint Now);

void learnReport(BalancerState &State, ServerRecord &Server,
                 const model::LoadReport &Report, model::TimePoint Now);

} // namespace cumingauge::policy
