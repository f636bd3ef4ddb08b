#include "emulator/verdict.h"
#include <algorithm>

namespace cumingauge::emulator {

namespace {

/// Faults beyond this number are only counted.
constexpr std::size_t MaxTraces = 20;

bool hasCompletedRun(const std::vector<JournalEntry> &Runs) {
  return std::any_of(Runs.begin(), Runs.end(), [](const JournalEntry &Run) {
    return Run.End_ == RunEnd::Whole;
  });
}

bool hasCutOffRun(const std::vector<JournalEntry> &Runs) {
  return std::any_of(Runs.begin(), Runs.end(), [](const JournalEntry &Run) {
    return Run.End_ == RunEnd::CutOff;
  });
}

/// Returns true when the call has no outcome at all, or a complete answer
/// although no server completed it.
bool isLost(const CallOutcome &Outcome, const std::vector<JournalEntry> &Runs) {
  if (Outcome.Kind_ == OutcomeKind::GaveUp)
    return true;
  return Outcome.Kind_ == OutcomeKind::Answer && !hasCompletedRun(Runs);
}

/// Returns true when the caller was told that the call did not run although it
/// did, or got a complete answer of the wrong length.
bool isUntruthful(const CallOutcome &Outcome,
                  const std::vector<JournalEntry> &Runs) {
  const bool ReportedNotRun = Outcome.Kind_ == OutcomeKind::NotRun ||
                              Outcome.Kind_ == OutcomeKind::Refused ||
                              Outcome.Kind_ == OutcomeKind::NotSent;
  return Outcome.WrongLength_ || (ReportedNotRun && !Runs.empty());
}

std::uint64_t &counterOf(Verdict &Sum, Fault Kind) {
  switch (Kind) {
  case Fault::Lost:
    return Sum.Lost_;
  case Fault::Doubled:
    return Sum.Doubled_;
  case Fault::Foreign:
    return Sum.Foreign_;
  case Fault::Untruthful:
    return Sum.Untruthful_;
  case Fault::CutOff:
    break;
  }
  return Sum.CutOff_;
}

} // namespace

std::vector<Fault> findFaults(const CallOutcome &Outcome,
                              const std::vector<JournalEntry> &Runs,
                              bool Idempotent) {
  std::vector<Fault> Found;
  if (isLost(Outcome, Runs))
    Found.push_back(Fault::Lost);
  if (!Idempotent && Runs.size() > 1)
    Found.push_back(Fault::Doubled);
  if (Outcome.Foreign_)
    Found.push_back(Fault::Foreign);
  if (isUntruthful(Outcome, Runs))
    Found.push_back(Fault::Untruthful);
  if (hasCutOffRun(Runs))
    Found.push_back(Fault::CutOff);
  return Found;
}

bool isLostOnTheWay(const CallOutcome &Outcome,
                    const std::vector<JournalEntry> &Runs) {
  if (Outcome.Kind_ == OutcomeKind::BrokenAnswer)
    return std::all_of(Runs.begin(), Runs.end(), [](const JournalEntry &Run) {
      return Run.End_ == RunEnd::Whole;
    });
  return Outcome.Kind_ == OutcomeKind::ConnectionLost;
}

void addToVerdict(Verdict &Sum, const std::string &Call,
                  const CallOutcome &Outcome,
                  const std::vector<JournalEntry> &Runs,
                  const LoadRoute &Route) {
  for (const Fault Kind : findFaults(Outcome, Runs, Route.Idempotent_)) {
    ++counterOf(Sum, Kind);
    if (Sum.Traces_.size() >= MaxTraces)
      continue;
    const auto AtMs =
        std::chrono::duration_cast<model::milliseconds>(Outcome.At_).count();
    Sum.Traces_.push_back({Kind, Call, Route.Name_, Outcome.Kind_,
                           Outcome.Code_, static_cast<std::uint64_t>(AtMs),
                           Runs});
  }
}

} // namespace cumingauge::emulator
