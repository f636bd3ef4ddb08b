#pragma once

#include "context.h"
#include "control/changewriter.h"
#include "fleetclient.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// What is waited for besides a version in force everywhere: that a server has
/// no call in flight. Empty names wait for the version only.
struct WaitSubject {
  std::string Server_;
  std::string Vm_;
};

/// How far a change has come, over the replies of the fleet.
struct Progress {
  unsigned Expected_ = 0; ///< entry VMs that should answer
  unsigned Answered_ = 0;
  unsigned InForce_ = 0;  ///< that have the version in force
  unsigned InFlight_ = 0; ///< calls in flight at the server
  unsigned VmsBusy_ = 0;  ///< entry VMs with such calls
};

Progress measureProgress(const std::vector<ProcessReply> &Replies,
                         std::uint64_t Version, const WaitSubject &Subject);

/// True when every expected VM has answered, has the version in force, and
/// has no call in flight at the server.
bool isDone(const Progress &Value);

/// Prints the outcome, hands an accepted change over, and with \p Wait follows
/// it until it is done. Returns the outcome's code, or WaitTimedOut.
CommandResult concludeChange(const Context &With,
                             const control::WriteOutcome &Outcome, bool Wait,
                             const WaitSubject &Subject);

} // namespace cumingauge::ctl
