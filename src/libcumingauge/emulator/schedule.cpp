#include "emulator/schedule.h"
#include <algorithm>
#include <random>

namespace cumingauge::emulator {

namespace {

/// Draws a number between 0 and 1.
double drawUniform(pcg32 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

double rateFactor(const LoadPlan &Plan, model::Duration At) {
  return Plan.Phases_.empty() ? 1 : Plan.Phases_[phaseAt(Plan, At)].RateFactor_;
}

/// Draws the index of a route, with probabilities in proportion to the rates.
std::uint32_t drawRoute(const LoadPlan &Plan, pcg32 &Random) {
  double Total = 0;
  for (const LoadRoute &Route : Plan.Routes_)
    Total += Route.CallsPerSecond_;
  double Left = drawUniform(Random) * Total;
  std::uint32_t Index = 0;
  while (Index + 1 < Plan.Routes_.size() &&
         Left >= Plan.Routes_[Index].CallsPerSecond_)
    Left -= Plan.Routes_[Index++].CallsPerSecond_;
  return Index;
}

} // namespace

Schedule makeSchedule(const LoadPlan &Plan, unsigned Thread) {
  Schedule Out;
  Out.Plan_ = Plan;
  Out.Random_ = pcg32(Plan.Seed_, Thread + 1);
  double Peak = Plan.Phases_.empty() ? 1 : 0;
  for (const LoadPhase &Phase : Plan.Phases_)
    Peak = std::max(Peak, Phase.RateFactor_);
  for (const LoadRoute &Route : Plan.Routes_)
    Out.PeakPerSecond_ += Route.CallsPerSecond_ * Peak / Plan.Threads_;
  return Out;
}

std::optional<PlannedCall> nextCall(Schedule &State) {
  if (State.PeakPerSecond_ <= 0)
    return std::nullopt;
  const LoadPlan &Plan = State.Plan_;
  const double Peak = State.PeakPerSecond_;
  double Total = 0;
  for (const LoadRoute &Route : Plan.Routes_)
    Total += Route.CallsPerSecond_ / Plan.Threads_;
  std::exponential_distribution<double> Gap(Peak);
  // Thinning: draws arrivals at the peak rate and keeps each one with the
  // probability (present rate / peak rate).
  while (State.Last_ < Plan.Duration_) {
    State.Last_ +=
        model::Duration(static_cast<std::int64_t>(Gap(State.Random_) * 1e9));
    const double Rate = Total * rateFactor(Plan, State.Last_);
    if (drawUniform(State.Random_) * Peak >= Rate ||
        State.Last_ >= Plan.Duration_)
      continue;
    PlannedCall Call;
    Call.At_ = State.Last_;
    Call.Route_ = drawRoute(Plan, State.Random_);
    Call.Caller_ = State.Random_(Plan.Callers_);
    Call.Cancels_ =
        drawUniform(State.Random_) < Plan.Routes_[Call.Route_].CancelShare_;
    return Call;
  }
  return std::nullopt;
}

} // namespace cumingauge::emulator
