#pragma once

#include "model/describe.h"
#include "model/member.h"
#include "model/serveractivity.h"
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cumingauge::model {

/// Status of one entry process, as reported to an operator.
struct ProcessStatus {
  std::string Process_;
  std::uint64_t Incarnation_ = 0;
  std::string Zone_;
  std::string Region_;
  std::uint64_t Version_ = 0;
  std::string Preset_;
  /// Since the last exchange with a peer or the store.
  std::uint64_t ViewAgeMs_ = 0;
  bool Confirmed_ = false;
  bool Ready_ = false;
  bool StoreAway_ = false;
  unsigned FleetSize_ = 0;
  unsigned Links_ = 0;
  /// Availability zones whose servers get no new work.
  std::set<std::string> EvacuatedZones_;
  std::vector<ServerActivity> Servers_;
  std::vector<Member> Members_;
};
BOOST_DESCRIBE_STRUCT(ProcessStatus, (),
                      (Process_, Incarnation_, Zone_, Region_, Version_,
                       Preset_, ViewAgeMs_, Confirmed_, Ready_, StoreAway_,
                       FleetSize_, Links_, EvacuatedZones_, Servers_, Members_))

} // namespace cumingauge::model
