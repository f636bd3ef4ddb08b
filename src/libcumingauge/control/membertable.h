#pragma once

#include "model/member.h"
#include "model/time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

/// Record of one member in the member table of this process.
struct MemberRecord {
  model::Member Member_;
  model::TimePoint Changed_; ///< last change of status or incarnation
};

/// All known members by process name, this process included.
struct MemberTable {
  std::string Self_;
  std::map<std::string, MemberRecord> Records_;
};

/// Effect of an update about one member on the table.
enum class MemberEffect {
  None,
  Joined,  ///< new member, or a higher incarnation of a member that was dead or
           ///< had left
  Updated, ///< higher incarnation of a member that was live
  Suspected, ///< the status changed, also for the next two
  Dead,
  Left,
  Refuted ///< the update was wrong about this process, which contradicts it
          ///< with a higher incarnation
};

/// Merges an update into the table. A higher incarnation wins; at the same one
/// the later status (alive, suspected, dead, left). An update in which
/// this process is not alive raises its own incarnation.
MemberEffect mergeMember(MemberTable &Table, const model::Member &Update,
                         model::TimePoint Now);

/// Returns the record of a process, or null.
const MemberRecord *findMember(const MemberTable &Table,
                               const std::string &Process);

/// Returns the members that have been suspected for \p DeadAfter or longer.
std::vector<model::Member> expiredSuspects(const MemberTable &Table,
                                           model::Duration DeadAfter,
                                           model::TimePoint Now);

/// Removes members that have been dead or gone for \p After or longer.
void removeEnded(MemberTable &Table, model::Duration After,
                 model::TimePoint Now);

/// Returns the members that are alive or only suspected, this process included.
std::vector<const model::Member *> liveMembers(const MemberTable &Table);

/// Returns a digest of the live members and their incarnations.
std::uint64_t membersDigest(const MemberTable &Table);

/// Returns true for a member that is alive or only suspected.
bool isLive(const model::Member &Value);

} // namespace cumingauge::control
