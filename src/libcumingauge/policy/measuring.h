#pragma once

#include "model/time.h"
#include "policy/fleetplace.h"

/// The share of the fleet's measuring budget that one traffic thread may
/// spend.
namespace cumingauge::policy {

/// Probes per second for one thread. Summed over threads with different
/// places whose counts are not below the truth, it is at most the budget.
double probeShare(double BudgetPerSecond, const FleetPlace &Place);

/// Spaces the probes of one thread to one service. Nothing is saved up.
struct ProbeClock {
  bool Started_ = false;
  model::TimePoint NextAt_;
};

/// Holds back for one second from now, for a start or a change of the fleet:
/// what was sent before under another view then lies in an earlier second.
void holdProbes(ProbeClock &Clock, model::TimePoint Now);

/// Whether a probe may go out now.
bool isProbeDue(ProbeClock &Clock, double PerSecond, model::TimePoint Now);

/// A probe goes out now.
void noteProbe(ProbeClock &Clock, double PerSecond, model::TimePoint Now);

} // namespace cumingauge::policy
