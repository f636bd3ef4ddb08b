#pragma once

#include "emulator/calloutcome.h"
#include "emulator/journal.h"
#include "emulator/loadplan.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cumingauge::emulator {

/// Kinds of violated guarantees.
enum class Fault {
  Lost,    ///< no outcome, or an answer although no server completed the call
  Doubled, ///< ran more than once although it is not idempotent
  Foreign, ///< answered with the body or call id of another call
  Untruthful, ///< ran although reported as not run, or answer of wrong length
  CutOff      ///< interrupted by a graceful stop of a backend server
};
BOOST_DESCRIBE_ENUM(Fault, Lost, Doubled, Foreign, Untruthful, CutOff)

/// One call with a violated guarantee.
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

/// Number of violated guarantees of a run, by kind.
struct Verdict {
  std::uint64_t Lost_ = 0;
  std::uint64_t Doubled_ = 0;
  std::uint64_t Foreign_ = 0;
  std::uint64_t Untruthful_ = 0;
  std::uint64_t CutOff_ = 0;
  std::vector<FaultTrace> Traces_; ///< details of the first ones
};
BOOST_DESCRIBE_STRUCT(Verdict, (),
                      (Lost_, Doubled_, Foreign_, Untruthful_, CutOff_,
                       Traces_))

/// Journal entries by call id.
using RunsByCall = std::map<std::string, std::vector<JournalEntry>>;

/// Returns the violated guarantees of one call.
std::vector<Fault> findFaults(const CallOutcome &Outcome,
                              const std::vector<JournalEntry> &Runs,
                              bool Idempotent);

/// Returns true when the connection to the caller lost the call: it ended
/// before any answer, or within an answer that the backend server had
/// completed.
bool isLostOnTheWay(const CallOutcome &Outcome,
                    const std::vector<JournalEntry> &Runs);

/// Counts the violated guarantees of one call in \p Sum.
void addToVerdict(Verdict &Sum, const std::string &Call,
                  const CallOutcome &Outcome,
                  const std::vector<JournalEntry> &Runs,
                  const LoadRoute &Route);

} // namespace cumingauge::emulator
