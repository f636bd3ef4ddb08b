#pragma once

#include "model/describe.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// Membership status of a process, as seen by the others.
enum class MemberStatus { Alive, Suspected, Dead, Left };
BOOST_DESCRIBE_ENUM(MemberStatus, Alive, Suspected, Dead, Left)

/// One process of the fleet at one incarnation. Information about a higher
/// incarnation replaces that about a lower one. At the same incarnation, the
/// status that stands later in MemberStatus wins.
struct Member {
  std::string Process_; ///< name from its settings, unique in the fleet
  std::uint64_t Incarnation_ = 0;
  std::string Zone_;
  std::string Region_;
  std::string Host_; ///< address of the peer link
  std::uint16_t Port_ = 0;
  MemberStatus Status_ = MemberStatus::Alive;
  /// Bandwidth of its VM's network link in Mbit/s; 0: unknown.
  double LinkMbps_ = 0;
};
BOOST_DESCRIBE_STRUCT(Member, (),
                      (Process_, Incarnation_, Zone_, Region_, Host_, Port_,
                       Status_, LinkMbps_))

} // namespace cumingauge::model
