#pragma once

namespace cumingauge::control {

struct CoreState;

/// Hands a new view to the traffic threads when anything in it has changed.
/// The first view waits until the state is confirmed by the store or, while
/// that is away, is the newest among several peers.
void publishView(CoreState &State);

/// True when another process is known that has not said goodbye.
bool isAnyOtherKnown(const CoreState &State);

} // namespace cumingauge::control
