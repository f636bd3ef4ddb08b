#pragma once

#include "control/core.h"
#include "control/leavingtable.h"
#include <optional>

/// What backend servers and the VM list say: servers that leave, and reports
/// shared with the processes of the zone.
namespace cumingauge::control {

struct CoreState;
struct Link;

/// Notes that a server leaves and passes it on.
void applyLeavingReport(CoreState &State, const ServerIdentity &Server,
                        std::optional<LinkId> From);

/// A server said something to this process.
void handleServerReport(CoreState &State, const ServerObservation &Sighting);

void handleServerReports(CoreState &State, const Link &From,
                         const ServerReports &Message);

/// Sends the reports gathered since the last call to the linked processes of
/// this zone, and drops what has lapsed. To be called at every tick.
void sendObservations(CoreState &State);

} // namespace cumingauge::control
