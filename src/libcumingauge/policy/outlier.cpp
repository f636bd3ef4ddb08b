#include "policy/outlier.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Number of recent outcomes that are recorded; one bit each.
constexpr unsigned MaxOutcomes = 64;
/// Limit on how often the ejection time is doubled.
constexpr unsigned MaxDoublings = 6;
/// Maximum number of successful responses in a row that end the probation.
constexpr unsigned ProbationAnswers = 3;
/// Time without a failure after which the next ejection counts as the first
/// again.
constexpr model::seconds EjectionResetTime{60};
/// Time in which past failures lose their effect on the cost of a server.
constexpr model::seconds FailureFadeTime{2};

/// Returns how many of the latest outcomes the failure ratio is taken over.
unsigned windowOf(const model::EjectionRule &Rule) {
  return std::clamp(2 * Rule.MinAttempts_, 1u, MaxOutcomes);
}

/// Returns the failures among the latest \p Window outcomes.
unsigned failuresIn(const OutlierRecord &Record, unsigned Window) {
  const std::uint64_t Mask =
      Window >= MaxOutcomes ? ~0ull : (1ull << Window) - 1;
  return static_cast<unsigned>(__builtin_popcountll(Record.Failures_ & Mask));
}

/// Returns whether the latest outcomes reach the rule's failure ratio.
bool isOutlier(const OutlierRecord &Record, const model::EjectionRule &Rule) {
  const unsigned Window = std::min(Record.Outcomes_, windowOf(Rule));
  if (Window < std::max(Rule.MinAttempts_, 1u))
    return false;
  const unsigned Failures = failuresIn(Record, Window);
  return Failures > 0 && Failures >= Rule.FailureRatio_ * Window;
}

/// Records the outcome of a call that was sent during probation.
OutlierEvent recordProbationOutcome(OutlierRecord &Record, bool Failed) {
  if (Failed)
    return OutlierEvent::ShouldEject;
  if (Record.ProbationLeft_ > 1) {
    --Record.ProbationLeft_;
    return OutlierEvent::None;
  }
  Record.EjectionState_ = EjectionState::Healthy;
  Record.Failures_ = 0;
  Record.Outcomes_ = 0;
  return OutlierEvent::PassedProbation;
}

} // namespace

OutlierEvent recordOutcome(OutlierRecord &Record, bool Failed,
                           const model::EjectionRule &Rule,
                           model::TimePoint Now) {
  if (!Failed && Now - Record.LastFailure_ > EjectionResetTime)
    Record.Ejections_ = 0;
  Record.Failures_ = Record.Failures_ << 1 | (Failed ? 1 : 0);
  Record.Outcomes_ = std::min(Record.Outcomes_ + 1, MaxOutcomes);
  if (Failed)
    Record.LastFailure_ = Now;
  switch (Record.EjectionState_) {
  case EjectionState::Healthy:
    return Failed && isOutlier(Record, Rule) ? OutlierEvent::ShouldEject
                                             : OutlierEvent::None;
  case EjectionState::Probation:
    return recordProbationOutcome(Record, Failed);
  case EjectionState::Ejected:
    return OutlierEvent::None; // the call was sent before the ejection
  }
  return OutlierEvent::None;
}

void eject(OutlierRecord &Record, const model::EjectionRule &Rule,
           model::TimePoint Now) {
  const unsigned Doublings = std::min(Record.Ejections_, MaxDoublings);
  Record.EjectionState_ = EjectionState::Ejected;
  Record.EjectedUntil_ = Now + Rule.BaseTime_ * (1u << Doublings);
  ++Record.Ejections_;
}

void updateEjectionState(OutlierRecord &Record, const model::EjectionRule &Rule,
                         model::TimePoint Now) {
  if (Record.EjectionState_ != EjectionState::Ejected ||
      Now < Record.EjectedUntil_)
    return;
  Record.EjectionState_ = EjectionState::Probation;
  Record.ProbationLeft_ = std::clamp(Rule.MinAttempts_, 1u, ProbationAnswers);
}

double recentFailureShare(const OutlierRecord &Record, model::TimePoint Now) {
  if (Record.Failures_ == 0)
    return 0;
  const unsigned Window = std::min(Record.Outcomes_, 8u);
  const double Share =
      static_cast<double>(failuresIn(Record, Window)) / std::max(Window, 1u);
  const auto Age = static_cast<double>((Now - Record.LastFailure_).count());
  const auto Fade =
      static_cast<double>(model::Duration(FailureFadeTime).count());
  return Share * std::max(0.0, 1 - Age / Fade);
}

} // namespace cumingauge::policy
