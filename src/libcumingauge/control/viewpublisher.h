#pragma once

namespace cumingauge::control {

struct CoreState;

/// Publishes a new view to the traffic threads when anything in it has changed.
/// The first view is published once the state is confirmed by the store or,
/// while the store is unreachable, is the newest among several peers.
void publishView(CoreState &State);

/// Returns true when another process is known that has not left the fleet.
bool hasOtherMembers(const CoreState &State);

} // namespace cumingauge::control
