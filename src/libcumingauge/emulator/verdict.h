#pragma once

#include "emulator/calloutcome.h"
#include "emulator/journal.h"
#include "emulator/loadplan.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cumingauge::emulator {

/// Kinds of broken promises.
enum class Fault { Lost, Doubled, Foreign, Untruthful, CutOff };
BOOST_DESCRIBE_ENUM(Fault, Lost, Doubled, Foreign, Untruthful, CutOff)

/// One call with a broken promise.
struct FaultTrace {
  Fault Fault_ = Fault::Lost;
  std::string Call_;
  std::string Route_;
  OutcomeKind Told_ = OutcomeKind::GaveUp;
  int Code_ = -1;
  std::uint64_t AtMs_ = 0; ///< since the run's start
  std::vector<JournalEntry> Runs_;
};
BOOST_DESCRIBE_STRUCT(FaultTrace, (),
                      (Fault_, Call_, Route_, Told_, Code_, AtMs_, Runs_))

/// Broken promises of a run.
struct Verdict {
  std::uint64_t Lost_ = 0;
  std::uint64_t Doubled_ = 0;
  std::uint64_t Foreign_ = 0;
  std::uint64_t Untruthful_ = 0;
  std::uint64_t CutOff_ = 0;
  std::vector<FaultTrace> Traces_; ///< the first few
};
BOOST_DESCRIBE_STRUCT(Verdict, (),
                      (Lost_, Doubled_, Foreign_, Untruthful_, CutOff_,
                       Traces_))

/// Journal entries by call identity.
using RunsByCall = std::map<std::string, std::vector<JournalEntry>>;

/// The faults of one call.
std::vector<Fault> findFaults(const CallOutcome &Outcome,
                              const std::vector<JournalEntry> &Runs,
                              bool Idempotent);

/// True when the way to the caller lost the call: its connection ended before
/// any answer, or within an answer that the server had given whole.
bool isLostOnTheWay(const CallOutcome &Outcome,
                    const std::vector<JournalEntry> &Runs);

/// Adds one call to the verdict.
void addToVerdict(Verdict &Sum, const std::string &Call,
                  const CallOutcome &Outcome,
                  const std::vector<JournalEntry> &Runs,
                  const LoadRoute &Route);

} // namespace cumingauge::emulator
