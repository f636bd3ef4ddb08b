#include "policy/measuring.h"
#include <algorithm>
#include <cmath>

namespace cumingauge::policy {

namespace {

constexpr model::Duration OneSecond = model::seconds(1);

} // namespace

double probeShare(double BudgetPerSecond, const FleetPlace &Place) {
  if (BudgetPerSecond <= 0)
    return 0;
  if (BudgetPerSecond < 1)
    return Place.Place_ == 0 ? BudgetPerSecond : 0;
  // Counts the whole numbers below the budget that are congruent to the place
  // modulo the deciders: each such number has one owner.
  const auto Budget = static_cast<unsigned>(BudgetPerSecond);
  if (Place.Place_ >= Budget)
    return 0;
  const unsigned Deciders = std::max(Place.Deciders_, 1u);
  return (Budget - 1 - Place.Place_) / Deciders + 1;
}

void holdProbes(ProbeClock &Clock, model::TimePoint Now) {
  const model::TimePoint Earliest = Now + OneSecond;
  Clock.NextAt_ = Clock.Started_ ? std::max(Clock.NextAt_, Earliest) : Earliest;
  Clock.Started_ = true;
}

bool isProbeDue(ProbeClock &Clock, double PerSecond, model::TimePoint Now) {
  if (!Clock.Started_)
    holdProbes(Clock, Now);
  return PerSecond > 0 && Now >= Clock.NextAt_;
}

void noteProbe(ProbeClock &Clock, double PerSecond, model::TimePoint Now) {
  const double SpacingNs =
      std::ceil(static_cast<double>(OneSecond.count()) / PerSecond);
  Clock.NextAt_ = Now + model::Duration(static_cast<long long>(SpacingNs));
}

} // namespace cumingauge::policy
