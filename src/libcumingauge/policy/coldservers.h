#pragma once

#include "policy/balancerstate.h"
#include <string>
#include <vector>

/// Calls to cold servers. A server that has just started or returned is idle,
/// so that the whole fleet would choose it at once, and it tolerates only a few
/// calls a second until it is warm. While it is cold, only a few threads of the
/// fleet call it, its users, and each has an allowance of calls in
/// coldCallInterval. Every process computes the users from the list of members,
/// without a message; see docs/design/cold-servers.md.
namespace cumingauge::policy {

/// Time for which an allowance holds: a second, and the time for which a
/// dispatched call may wait for its connection.
model::Duration coldCallInterval(const model::Preset &Preset);

/// Returns the sum of the allowances of all users of a cold server of a
/// service, which is also the largest number of users; nothing when the service
/// has no limit.
std::optional<unsigned> coldCallsInInterval(const model::Preset &Preset,
                                            const std::string &Service);

/// Returns whether a server is cold and its service has a limit.
bool isLimitedByCold(const BalancerState &State, const ServerRecord &Server,
                     model::TimePoint Now);

/// Returns whether this thread must not call the server because it is cold.
bool isClosedByCold(const BalancerState &State, const ServerRecord &Server,
                    model::TimePoint Now);

/// Returns whether the time since the last call of this thread allows another
/// one; always for a warm server.
bool isColdCallDue(const BalancerState &State, const ServerRecord &Server,
                   model::TimePoint Now);

/// Records that a server is cold for a time from now on.
/// \returns whether it was not known to be cold.
bool recordCold(BalancerState &State, ServerHandle Server,
                model::Duration ColdFor, model::TimePoint Now);

/// Selects again who uses the servers that are cold, when the list of members
/// has changed.
void updateColdUsers(BalancerState &State);

/// Number of cold servers whose calls are limited.
struct ColdCounts {
  unsigned Limited_ = 0;
  unsigned Closed_ = 0; ///< of these, closed to this thread
};
ColdCounts countCold(const BalancerState &State, model::TimePoint Now);

/// Returns the servers that have become warm, which get calls like all others
/// from now on.
std::vector<ServerHandle> endColdPhases(BalancerState &State,
                                        model::TimePoint Now);

} // namespace cumingauge::policy
