#pragma once

#include "model/configstate.h"
#include "model/describe.h"
#include "model/time.h"
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cumingauge::model {

/// An entry process and its availability zone.
struct ProcessPlace {
  std::string Process_;
  std::string Zone_;
};
BOOST_DESCRIBE_STRUCT(ProcessPlace, (), (Process_, Zone_))

/// Immutable snapshot of the control state that the control thread publishes
/// to the traffic threads. Each new view replaces the previous one as a whole.
struct ControlView {
  std::shared_ptr<const ConfigState> Config_;
  /// By mark, VM list or their own report.
  std::set<std::string> LeavingServers_;
  unsigned FleetSize_ = 1; ///< larger count of VM list and peers; at least 1
  unsigned FleetRank_ = 0; ///< rank of this process among the members by name
  /// Number of members in the own availability zone and the own rank among
  /// them; 0 when members are not counted by zone.
  unsigned ZoneSize_ = 0;
  unsigned ZoneRank_ = 0;
  /// Number of processes that share the probing budget, and the own rank among
  /// them. Processes that were lost recently without having left still count:
  /// they may be alive behind a network partition and still send probes.
  unsigned ProberCount_ = 1;
  unsigned ProberRank_ = 0;
  /// All entry processes of the fleet, in touch or not, if they are known; the
  /// same list in every process that knows the same members.
  std::shared_ptr<const std::vector<ProcessPlace>> Processes_;
  std::string Process_; ///< name of this process
  /// The state was read from the store, not only from peers.
  bool Confirmed_ = false;
};

} // namespace cumingauge::model
