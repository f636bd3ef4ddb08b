#pragma once

#include "fakefleet.h"
#include <ostream>
#include <rapidcheck.h>
#include <string>
#include <vector>

/// Random scripts of failures and changes for the property tests.
namespace cumingauge::fakes {

enum class ScriptAction {
  Choose,      ///< an operator chooses a preset
  Race,        ///< two operators choose different presets at once
  Put,         ///< an operator replaces a preset
  Leave,       ///< an operator marks a server as leaving
  Return,      ///< an operator removes the mark
  Replace,     ///< a server's VM is replaced
  Pause,       ///< a process is paused for a while
  Restart,     ///< a process dies and starts again with empty memory
  Goodbye,     ///< a process shuts down and leaves the fleet, then starts again
  Split,       ///< the network splits the fleet into two parts
  SplitStore,  ///< the same, and one part loses the store too
  Isolate,     ///< a process loses its links to all others and the store
  StoreOutage, ///< no process reaches the store
  LoseZone,    ///< all processes of a zone are killed and start again
  LossyLinks,  ///< messages are dropped, repeated, delayed
  LossyStore, ///< answers are lost, writes are executed late, calls are refused
  Wait
};
BOOST_DESCRIBE_ENUM(ScriptAction, Choose, Race, Put, Leave, Return, Replace,
                    Pause, Restart, Goodbye, Split, SplitStore, Isolate,
                    StoreOutage, LoseZone, LossyLinks, LossyStore, Wait)

/// One line of a script. The numbers are drawn from wide ranges and reduced to
/// valid values when the line is executed.
struct ScriptLine {
  ScriptAction Action_ = ScriptAction::Wait;
  unsigned Which_ = 0;
  unsigned LastsMs_ = 0; ///< how long the failure lasts
  unsigned NextMs_ = 0;  ///< until the next line
};

std::ostream &operator<<(std::ostream &Out, const ScriptLine &Line);

/// Returns a generator of random scripts.
rc::Gen<std::vector<ScriptLine>> scripts();

/// Result of running a script.
struct ScriptResult {
  std::vector<std::string> Violations_;
  /// Checks that a version is in force in time on a process.
  std::uint64_t InForceChecks_ = 0;
  /// Checks that a marked server gets no work after the bound.
  std::uint64_t DispatchChecks_ = 0;
};

/// Starts a fleet with presets and servers, runs the script, ends all failures
/// and runs on until all processes must agree.
ScriptResult runScript(const std::vector<ScriptLine> &Script,
                       unsigned Processes, std::uint64_t Seed);

/// Compares the outcomes reported to operators with the log, and returns the
/// contradictions.
std::vector<std::string> checkOutcomes(const FakeFleet &Fleet);

} // namespace cumingauge::fakes
