#pragma once

#include "control/core.h"
#include "control/leavingtable.h"
#include <optional>

/// Reports about backend servers, by themselves and by the VM list: servers
/// that are leaving, and load reports shared with the processes of the zone.
namespace cumingauge::control {

struct CoreState;
struct Link;

/// Records that a server is leaving and passes it on to the peers.
/// \param From the link that the report came over, if any; it is not sent back
/// there.
void applyLeavingReport(CoreState &State, const ServerIdentity &Server,
                        std::optional<LinkId> From);

/// Handles a report that a backend server sent to this process.
void handleServerReport(CoreState &State, const ServerObservation &Observation);

/// Handles reports that a peer received from backend servers.
void handleServerReports(CoreState &State, const Link &From,
                         const ServerReports &Message);

/// Sends the reports gathered since the last call to the linked processes of
/// this zone, and removes expired leaving entries. To be called at every tick.
void sendObservations(CoreState &State);

} // namespace cumingauge::control
