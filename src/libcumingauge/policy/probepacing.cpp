#include "policy/probepacing.h"
#include <algorithm>
#include <cmath>

namespace cumingauge::policy {

namespace {

constexpr model::Duration OneSecond = model::seconds(1);

} // namespace

double probeShare(double BudgetPerSecond, const ThreadRank &Rank) {
  if (BudgetPerSecond <= 0)
    return 0;
  if (BudgetPerSecond < 1)
    return Rank.Rank_ == 0 ? BudgetPerSecond : 0;
  // Counts the integers below the budget that are congruent to the rank modulo
  // the number of threads: each such integer belongs to exactly one thread.
  const auto Budget = static_cast<unsigned>(BudgetPerSecond);
  if (Rank.Rank_ >= Budget)
    return 0;
  const unsigned Threads = std::max(Rank.Threads_, 1u);
  return (Budget - 1 - Rank.Rank_) / Threads + 1;
}

void delayProbes(ProbePacer &Pacer, model::TimePoint Now) {
  const model::TimePoint Earliest = Now + OneSecond;
  Pacer.NextAt_ = Pacer.Started_ ? std::max(Pacer.NextAt_, Earliest) : Earliest;
  Pacer.Started_ = true;
}

bool isProbeDue(ProbePacer &Pacer, double PerSecond, model::TimePoint Now) {
  if (!Pacer.Started_)
    delayProbes(Pacer, Now);
  return PerSecond > 0 && Now >= Pacer.NextAt_;
}

void recordProbe(ProbePacer &Pacer, double PerSecond, model::TimePoint Now) {
  const double SpacingNs =
      std::ceil(static_cast<double>(OneSecond.count()) / PerSecond);
  Pacer.NextAt_ = Now + model::Duration(static_cast<long long>(SpacingNs));
}

} // namespace cumingauge::policy
