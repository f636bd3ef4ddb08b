#pragma once

#include "control/directoryrevision.h"
#include "model/time.h"
#include "ports/directory.h"
#include <map>
#include <set>
#include <string>
#include <vector>

/// Availability zones that operators have evacuated through the directory.
namespace cumingauge::control {

struct CoreState;

struct EvacuationTable {
  std::set<std::string> Requested_;
  /// Position in the directory's history at which Requested_ is known to hold.
  DirectoryRevision Revision_;
  /// Zones that were taken back but are not used yet, because their servers may
  /// have changed shortly before: the time as of which the list of servers must
  /// be complete for that.
  std::map<std::string, model::TimePoint> Returning_;
};

/// Returns the zones whose servers get no new work.
std::set<std::string> evacuatedZones(const EvacuationTable &Table);

/// Applies all requests that hold at a position. Older ones than those in use
/// are ignored.
/// \returns true when evacuatedZones() may have changed.
bool applyZoneRequests(CoreState &State, const std::set<std::string> &Requested,
                       DirectoryRevision At);

/// Applies changes of requests up to a position, under the same condition.
bool applyZoneChanges(CoreState &State,
                      const std::vector<ports::ZoneRequest> &Changes,
                      DirectoryRevision At);

/// Takes zones back into use whose servers are known well enough.
/// \returns true when there were any.
bool finishZoneReturns(CoreState &State);

} // namespace cumingauge::control
