#pragma once

#include "model/member.h"
#include <functional>
#include <string>
#include <vector>

/// Chooses which processes call the directory and pass on what it says. Fleet
/// readers call it for the whole fleet, the readers of a group pass the updates
/// of the fleet readers on to its other processes. A group is an availability
/// zone, or all zones together that are too small. The processes of a fleet
/// that is too small for a group all call.
namespace cumingauge::control {

/// Returns whether links to the member may be opened or are open.
using ReachablePredicate = std::function<bool(const model::Member &)>;

/// Returns the readers to which a process subscribes; none when it calls the
/// directory itself. Members that cannot be reached are replaced by the next
/// ones in rank, which become readers when they receive a subscription.
/// \param Members all members of the fleet, in any order.
std::vector<const model::Member *>
chooseReaders(const std::vector<model::Member> &Members,
              const model::Member &Self, const ReachablePredicate &IsReachable);

/// Returns whether a process is one of the two that call the directory for the
/// whole fleet; in a fleet too small for a group, one of the first two in rank.
bool isFleetReader(const std::vector<model::Member> &Members,
                   const model::Member &Self,
                   const ReachablePredicate &IsReachable);

/// Returns whether a process is among the members.
bool contains(const std::vector<const model::Member *> &Members,
              const std::string &Process);

/// Returns the members from which a process that has no reader takes its first
/// state when it starts, if the fleet has run before. The directory alone may
/// have been restored from a copy that is older than what the fleet knows.
std::vector<const model::Member *>
chooseStartPeers(const std::vector<model::Member> &Members,
                 const model::Member &Self,
                 const ReachablePredicate &IsReachable);

} // namespace cumingauge::control
