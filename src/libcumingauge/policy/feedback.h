#pragma once

#include "policy/balancerstate.h"

/// Updates what is known about a server from ended attempts and load reports.
namespace cumingauge::policy {

/// An ended attempt.
struct AttemptOutcome {
  const CallFacts &Call_;
  AttemptEnd End_;
  model::Duration Latency_; ///< from dispatch to end
};

/// Updates latencies, slowness and the ejection state from an ended attempt.
void applyOutcome(BalancerState &State, ServiceRecord &Service,
                  ServerRecord &Server, const AttemptOutcome &Outcome,
                  model::TimePoint Now);

/// Applies a load report: draining, pace, slots and backlog of the server, and
/// how far the reports of its service are trusted.
void applyReport(BalancerState &State, ServerRecord &Server,
                 const model::LoadReport &Report, model::TimePoint Now);

} // namespace cumingauge::policy
