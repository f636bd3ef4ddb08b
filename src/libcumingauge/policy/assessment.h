#pragma once

#include "policy/balancerstate.h"
#include "policy/choice.h"
#include <limits>

/// Rates servers for a call: whether a server is usable, and the expected cost
/// of sending the call there.
namespace cumingauge::policy {

/// Rating of one server; a lower cost is better.
struct Assessment {
  bool Usable_ = false;
  double CostNs_ = std::numeric_limits<double>::infinity();
};

/// Inputs that are the same for all servers rated for one call.
struct AssessmentContext {
  const BalancerState &State_;
  pcg32 &Random_;
  const ServiceRecord &Service_;
  const ChoiceRequest &Request_;
  model::TimePoint Now_;
  double MeanLatencyNs_; ///< mean latency of the service
  double NoiseCalls_;    ///< width of the random noise on an uncertain backlog
  bool NeedsCost_ = true;
  bool ExcludeTried_ = true;
  bool AllowEjected_ = false;
};

/// Returns the mean latency of the service's responses in ns, or a default
/// before the first response.
double meanLatencyNs(const ServiceRecord &Service);

/// Returns the width, in calls, of the random noise on the backlog of a server
/// without a usable report.
double backlogNoiseWidth(const ServiceRecord &Service);

/// Returns the time that a call is expected to wait for a slot, in mean
/// latencies.
/// \param Slots usable slots; fewer than the server has while it is cold.
double expectedWait(double Backlog, double Slots);

/// Returns whether the server was heard from so recently that its last report
/// still holds.
bool wasHeardRecently(const ServerRecord &Server, model::TimePoint Now);

/// Rates one server for the call in \p Context.
Assessment assess(ServerHandle Handle, const AssessmentContext &Context);

/// Returns whether the server may be used as far as everything but its backlog
/// is concerned: draining, ejection and earlier attempts.
bool isEligible(ServerHandle Handle, const AssessmentContext &Context);

} // namespace cumingauge::policy
