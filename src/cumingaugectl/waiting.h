#pragma once

#include "context.h"
#include "control/changewriter.h"
#include "fleetclient.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Server that must have no call in flight before a wait ends, in addition to
/// the version being in force on every VM. With empty names, only the version
/// is waited for.
struct WaitTarget {
  std::string Server_;
  std::string Vm_;
};

/// Progress of a change, summed over the replies of the fleet.
struct Progress {
  unsigned Expected_ = 0; ///< entry VMs that should answer
  unsigned Answered_ = 0;
  unsigned InForce_ = 0;  ///< entry VMs that have the version in force
  unsigned InFlight_ = 0; ///< calls in flight at the server
  unsigned VmsBusy_ = 0;  ///< entry VMs with such calls
};

/// Computes the progress of \p Version from the replies of the fleet.
Progress measureProgress(const std::vector<ProcessReply> &Replies,
                         std::uint64_t Version, const WaitTarget &Target);

/// Returns true when every expected VM has answered, has the version in force
/// and has no call in flight at the server.
bool isDone(const Progress &Value);

/// Reports the outcome of a change, sends an accepted one to a few entry
/// processes and, with \p Wait, polls the fleet until isDone(). Returns the
/// code of the outcome; fails with WaitTimedOut.
CommandResult finishChange(const Context &Ctx,
                           const control::WriteOutcome &Outcome, bool Wait,
                           const WaitTarget &Target);

} // namespace cumingauge::ctl
