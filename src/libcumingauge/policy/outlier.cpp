#include "policy/outlier.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

constexpr unsigned MaxOutcomes = 64;
constexpr unsigned MaxDoublings = 6;
constexpr unsigned ProbationAnswers = 3;
/// An ejection this long after the last failure counts as the first again.
constexpr model::seconds GoodSpell{60};
constexpr model::seconds FailureFade{2};

unsigned windowOf(const model::EjectionRule &Rule) {
  return std::clamp(2 * Rule.MinAttempts_, 1u, MaxOutcomes);
}

unsigned failuresIn(const OutlierRecord &Record, unsigned Window) {
  const std::uint64_t Mask =
      Window >= MaxOutcomes ? ~0ull : (1ull << Window) - 1;
  return static_cast<unsigned>(__builtin_popcountll(Record.Failures_ & Mask));
}

bool isOutlier(const OutlierRecord &Record, const model::EjectionRule &Rule) {
  const unsigned Window = std::min(Record.Outcomes_, windowOf(Rule));
  if (Window < std::max(Rule.MinAttempts_, 1u))
    return false;
  const unsigned Failures = failuresIn(Record, Window);
  return Failures > 0 && Failures >= Rule.FailureRatio_ * Window;
}

OutlierStep noteInProbation(OutlierRecord &Record, bool Failed) {
  if (Failed)
    return OutlierStep::WantsEjection;
  if (Record.ProbationLeft_ > 1) {
    --Record.ProbationLeft_;
    return OutlierStep::None;
  }
  Record.Standing_ = Standing::Good;
  Record.Failures_ = 0;
  Record.Outcomes_ = 0;
  return OutlierStep::PassedProbation;
}

} // namespace

OutlierStep noteOutcome(OutlierRecord &Record, bool Failed,
                        const model::EjectionRule &Rule, model::TimePoint Now) {
  if (!Failed && Now - Record.LastFailure_ > GoodSpell)
    Record.Ejections_ = 0;
  Record.Failures_ = Record.Failures_ << 1 | (Failed ? 1 : 0);
  Record.Outcomes_ = std::min(Record.Outcomes_ + 1, MaxOutcomes);
  if (Failed)
    Record.LastFailure_ = Now;
  switch (Record.Standing_) {
  case Standing::Good:
    return Failed && isOutlier(Record, Rule) ? OutlierStep::WantsEjection
                                             : OutlierStep::None;
  case Standing::Probation:
    return noteInProbation(Record, Failed);
  case Standing::Ejected:
    return OutlierStep::None; // a call that was sent before
  }
  return OutlierStep::None;
}

void eject(OutlierRecord &Record, const model::EjectionRule &Rule,
           model::TimePoint Now) {
  const unsigned Doublings = std::min(Record.Ejections_, MaxDoublings);
  Record.Standing_ = Standing::Ejected;
  Record.EjectedUntil_ = Now + Rule.BaseTime_ * (1u << Doublings);
  ++Record.Ejections_;
}

void refreshStanding(OutlierRecord &Record, const model::EjectionRule &Rule,
                     model::TimePoint Now) {
  if (Record.Standing_ != Standing::Ejected || Now < Record.EjectedUntil_)
    return;
  Record.Standing_ = Standing::Probation;
  Record.ProbationLeft_ = std::clamp(Rule.MinAttempts_, 1u, ProbationAnswers);
}

double recentFailureShare(const OutlierRecord &Record, model::TimePoint Now) {
  if (Record.Failures_ == 0)
    return 0;
  const unsigned Window = std::min(Record.Outcomes_, 8u);
  const double Share =
      static_cast<double>(failuresIn(Record, Window)) / std::max(Window, 1u);
  const auto Age = static_cast<double>((Now - Record.LastFailure_).count());
  const auto Fade = static_cast<double>(model::Duration(FailureFade).count());
  return Share * std::max(0.0, 1 - Age / Fade);
}

} // namespace cumingauge::policy
