#pragma once

#include "fleetclient.h"
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// State of a leaving server, summed over all entry VMs.
struct LeavingSummary {
  std::string Server_;
  std::string Vm_;
  unsigned InFlight_ = 0;     ///< calls on all entry VMs that answered
  unsigned BusyVms_ = 0;      ///< entry VMs with such calls
  unsigned LeavingOnVms_ = 0; ///< entry VMs that send it no new work
  bool SafeToSwitchOff_ = false;
};
BOOST_DESCRIBE_STRUCT(LeavingSummary, (),
                      (Server_, Vm_, InFlight_, BusyVms_, LeavingOnVms_,
                       SafeToSwitchOff_))

/// State of the fleet, as shown by `status`.
struct FleetSummary {
  unsigned ExpectedVms_ = 0; ///< in the members' tables or in the VM list
  unsigned AnsweredVms_ = 0;
  std::uint64_t NewestVersion_ = 0;
  unsigned VmsAtNewest_ = 0;
  std::set<std::string> Presets_; ///< in force on any VM that answered
  unsigned VmsWithoutStore_ = 0;
  std::vector<LeavingSummary> Leaving_;
  /// Evacuated availability zones, with the number of VMs that send no new work
  /// to their servers.
  std::map<std::string, unsigned> EvacuatedZones_;
};
BOOST_DESCRIBE_STRUCT(FleetSummary, (),
                      (ExpectedVms_, AnsweredVms_, NewestVersion_, VmsAtNewest_,
                       Presets_, VmsWithoutStore_, Leaving_, EvacuatedZones_))

/// Summarizes the replies of the fleet. A server is safe to switch off when
/// every expected VM has answered, sends it no new work and has no call in
/// flight at it.
FleetSummary summarize(const std::vector<ProcessReply> &Replies);

} // namespace cumingauge::ctl
