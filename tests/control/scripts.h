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
  Return,      ///< an operator takes the mark back
  Replace,     ///< a server's VM is replaced
  Pause,       ///< a process stands still for a while
  Restart,     ///< a process dies and starts again with empty memory
  Goodbye,     ///< a process is shut down in order and starts again
  Split,       ///< two parts of the fleet lose each other
  SplitStore,  ///< the same, and one part loses the store too
  Isolate,     ///< a process loses all others and the store
  StoreOutage, ///< nobody reaches the store
  LoseZone,    ///< all processes of a zone die and come back
  LossyLinks,  ///< messages are dropped, repeated, delayed
  LossyStore,  ///< answers are lost, writes land late, calls are refused
  Wait
};
BOOST_DESCRIBE_ENUM(ScriptAction, Choose, Race, Put, Leave, Return, Replace,
                    Pause, Restart, Goodbye, Split, SplitStore, Isolate,
                    StoreOutage, LoseZone, LossyLinks, LossyStore, Wait)

/// One line of a script; the numbers are drawn freely and cut to size.
struct ScriptLine {
  ScriptAction Action_ = ScriptAction::Wait;
  unsigned Which_ = 0;
  unsigned LastsMs_ = 0; ///< how long the failure lasts
  unsigned NextMs_ = 0;  ///< until the next line
};

std::ostream &operator<<(std::ostream &Out, const ScriptLine &Line);

rc::Gen<std::vector<ScriptLine>> scripts();

/// What came of a script.
struct PlayResult {
  std::vector<std::string> Violations_;
  std::uint64_t InForceChecks_ = 0;  ///< of a version on a process in time
  std::uint64_t DispatchChecks_ = 0; ///< of a marked server past the bound
};

/// Starts a fleet with presets and servers, plays the script, heals
/// everything and runs on until all must agree.
PlayResult play(const std::vector<ScriptLine> &Script, unsigned Processes,
                std::uint64_t Seed);

/// Compares what operators were told with the log.
std::vector<std::string> checkOutcomes(const FakeFleet &Fleet);

} // namespace cumingauge::fakes
