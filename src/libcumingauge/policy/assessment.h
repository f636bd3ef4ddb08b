#pragma once

#include "policy/balancerstate.h"
#include "policy/choice.h"
#include <limits>

/// Whether a server will do for a call, and what a call there would cost.
namespace cumingauge::policy {

/// Result for one server.
struct Assessment {
  bool Usable_ = false;
  double CostNs_ = std::numeric_limits<double>::infinity();
};

/// The figures that are the same for all servers of one choice.
struct Comparison {
  const BalancerState &State_;
  pcg32 &Random_;
  const ServiceRecord &Service_;
  const ChoiceRequest &Request_;
  model::TimePoint Now_;
  double UsualNs_;     ///< mean latency
  double SpreadCalls_; ///< width of the draw over an unknown backlog
  bool NeedsCost_ = true;
  bool ExcludeTried_ = true;
  bool AllowEjected_ = false;
};

/// Mean latency of the service's answers in ns, or a guess before the first.
double usualLatency(const ServiceRecord &Service);

/// Width of the draw over the backlog of a server of which nothing is known,
/// in calls.
double unknownSpread(const ServiceRecord &Service);

/// How long a call is expected to wait for a slot, in usual latencies.
/// \param Slots those that count now; fewer while the server is cold.
double expectedWait(double Backlog, double Slots);

/// Whether a server has told its load so lately that it still holds.
bool wasHeardLately(const ServerRecord &Server, model::TimePoint Now);

Assessment assess(ServerHandle Handle, const Comparison &With);

/// Whether nothing but its backlog can make the server unusable.
bool mayTake(ServerHandle Handle, const Comparison &With);

} // namespace cumingauge::policy
