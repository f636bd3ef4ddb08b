#include "emulator/verdict.h"
#include <algorithm>

namespace cumingauge::emulator {

namespace {

constexpr std::size_t MaxTraces = 20;

bool ranToItsEnd(const std::vector<JournalEntry> &Runs) {
  return std::any_of(Runs.begin(), Runs.end(), [](const JournalEntry &Run) {
    return Run.End_ == RunEnd::Whole;
  });
}

bool wasCutOff(const std::vector<JournalEntry> &Runs) {
  return std::any_of(Runs.begin(), Runs.end(), [](const JournalEntry &Run) {
    return Run.End_ == RunEnd::CutOff;
  });
}

/// No outcome at all, or a whole answer to a call that no server completed.
bool isLost(const CallOutcome &Outcome, const std::vector<JournalEntry> &Runs) {
  if (Outcome.Told_ == Told::GaveUp)
    return true;
  return Outcome.Told_ == Told::Answer && !ranToItsEnd(Runs);
}

bool isUntruthful(const CallOutcome &Outcome,
                  const std::vector<JournalEntry> &Runs) {
  const bool ToldNotRun = Outcome.Told_ == Told::NotRun ||
                          Outcome.Told_ == Told::Refused ||
                          Outcome.Told_ == Told::NotSent;
  return Outcome.Short_ || (ToldNotRun && !Runs.empty());
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

std::vector<Fault> judgeCall(const CallOutcome &Outcome,
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
  if (wasCutOff(Runs))
    Found.push_back(Fault::CutOff);
  return Found;
}

bool isLostOnTheWay(const CallOutcome &Outcome,
                    const std::vector<JournalEntry> &Runs) {
  if (Outcome.Told_ == Told::BrokenAnswer)
    return std::all_of(Runs.begin(), Runs.end(), [](const JournalEntry &Run) {
      return Run.End_ == RunEnd::Whole;
    });
  return Outcome.Told_ == Told::ConnectionLost;
}

void addToVerdict(Verdict &Sum, const std::string &Call,
                  const CallOutcome &Outcome,
                  const std::vector<JournalEntry> &Runs,
                  const LoadRoute &Route) {
  for (const Fault Kind : judgeCall(Outcome, Runs, Route.Idempotent_)) {
    ++counterOf(Sum, Kind);
    if (Sum.Traces_.size() >= MaxTraces)
      continue;
    const auto AtMs =
        std::chrono::duration_cast<model::milliseconds>(Outcome.At_).count();
    Sum.Traces_.push_back({Kind, Call, Route.Name_, Outcome.Told_,
                           Outcome.Code_, static_cast<std::uint64_t>(AtMs),
                           Runs});
  }
}

} // namespace cumingauge::emulator
