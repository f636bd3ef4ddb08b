#include "policy/balancerstate.h"
#include "policy/probepacing.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// A server that was heard from within this time needs no probe.
constexpr model::Duration FreshAge = model::milliseconds(100);

/// Returns the rank of this thread among those that share the probe budget.
/// \pre State.View_ is set.
ThreadRank probingRank(const BalancerState &State) {
  const model::ControlView &View = *State.View_;
  if (!State.Thread_)
    return {View.ProberCount_, View.ProberRank_};
  return {View.ProberCount_ * State.Threads_,
          View.ProberRank_ * State.Threads_ + *State.Thread_};
}

/// Returns the budget that probeShare divides. Threads that do not know their
/// number divide their process's share evenly.
double budgetOf(const BalancerState &State) {
  const double Budget = State.Preset_.Measuring_.ProbesPerSecond_;
  return State.Thread_ ? Budget : Budget / State.Threads_;
}

/// Returns the server of the subset that was not heard from for the longest
/// time.
ServerHandle leastRecentlyHeard(const BalancerState &State,
                                const ServiceRecord &Service) {
  const auto Oldest =
      std::min_element(Service.Subset_.begin(), Service.Subset_.end(),
                       [&](ServerHandle Left, ServerHandle Right) {
                         return State.Servers_[Left].Report_.HeardAt_ <
                                State.Servers_[Right].Report_.HeardAt_;
                       });
  return Oldest == Service.Subset_.end() ? NoServer : *Oldest;
}

} // namespace

std::vector<DueProbe> dueProbes(BalancerState &State, model::TimePoint Now) {
  std::vector<DueProbe> Out;
  if (!State.View_)
    return Out;
  const double PerSecond = probeShare(budgetOf(State), probingRank(State));
  for (ServiceRecord &Service : State.Services_) {
    if (!isProbeDue(Service.Probes_, PerSecond, Now))
      continue;
    const ServerHandle Server = leastRecentlyHeard(State, Service);
    if (Server == NoServer)
      continue;
    ReportRecord &Report = State.Servers_[Server].Report_;
    if (Now - Report.HeardAt_ < FreshAge) {
      count(State.Reasons_, ChoiceReason::ProbeSpared);
      continue;
    }
    Report.HeardAt_ = Now; // the next probe goes to another server
    recordProbe(Service.Probes_, PerSecond, Now);
    count(State.Reasons_, ChoiceReason::ProbeSent);
    Out.push_back({Server});
  }
  return Out;
}

void recordProbeFailure(BalancerState &State, ServerHandle Server,
                        model::TimePoint Now) {
  ReportRecord &Report = State.Servers_.at(Server).Report_;
  Report.Known_ = false;
  Report.HeardAt_ = Now;
}

} // namespace cumingauge::policy
