#pragma once

#include "model/time.h"
#include "policy/threadrank.h"

/// One traffic thread's share of the fleet's probe budget, and the pacing of
/// its probes.
namespace cumingauge::policy {

/// Returns the probes per second that one thread may send. The sum over threads
/// with different ranks is at most the budget, as long as no thread takes the
/// number of threads for smaller than it is.
double probeShare(double BudgetPerSecond, const ThreadRank &Rank);

/// Paces the probes of one thread to one service. Unused probes are not saved
/// up.
struct ProbePacer {
  bool Started_ = false;
  model::TimePoint NextAt_;
};

/// Sends no probe for one second from now, after a start or a change of the
/// fleet: probes that were sent under the previous view then lie in an earlier
/// second.
void delayProbes(ProbePacer &Pacer, model::TimePoint Now);

/// Returns whether a probe may be sent now.
bool isProbeDue(ProbePacer &Pacer, double PerSecond, model::TimePoint Now);

/// Records that a probe is sent now.
void recordProbe(ProbePacer &Pacer, double PerSecond, model::TimePoint Now);

} // namespace cumingauge::policy
