#pragma once

#include "model/describe.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// How the fleet sees one of its processes.
enum class MemberStatus { Alive, Suspected, Dead, Left };
BOOST_DESCRIBE_ENUM(MemberStatus, Alive, Suspected, Dead, Left)

/// One process of the fleet at one incarnation. A higher incarnation replaces
/// all that is known of a lower one; at the same incarnation the later status
/// of the enumeration wins.
struct Member {
  std::string Process_; ///< name from its settings, unique in the fleet
  std::uint64_t Incarnation_ = 0;
  std::string Zone_;
  std::string Region_;
  std::string Host_; ///< address of the peer link
  std::uint16_t Port_ = 0;
  MemberStatus Status_ = MemberStatus::Alive;
  /// Megabits a second of its VM's link; 0: not told.
  double LinkMbps_ = 0;
};
BOOST_DESCRIBE_STRUCT(Member, (),
                      (Process_, Incarnation_, Zone_, Region_, Host_, Port_,
                       Status_, LinkMbps_))

} // namespace cumingauge::model
