#pragma once

#include "model/member.h"
#include "model/time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

/// What this process knows of one member.
struct MemberRecord {
  model::Member Member_;
  model::TimePoint Changed_; ///< last change of status or incarnation
};

/// All members known, this process included, by process name.
struct MemberTable {
  std::string Self_;
  std::map<std::string, MemberRecord> Records_;
};

/// What news about one member did to the table.
enum class MemberEffect {
  None,
  Joined,    ///< first heard of, or a higher incarnation after its end
  Updated,   ///< higher incarnation while it was thought alive
  Suspected, ///< the next three: the status changed
  Dead,
  Left,
  Refuted ///< the news was wrong about this process, which contradicts it
};

/// Merges news. A higher incarnation wins; at the same one the later status.
/// News that this process is not alive raises its own incarnation.
MemberEffect mergeMember(MemberTable &Table, const model::Member &News,
                         model::TimePoint Now);

/// The record of a process, or null.
const MemberRecord *findMember(const MemberTable &Table,
                               const std::string &Process);

/// Suspected members whose time has run out.
std::vector<model::Member> expiredSuspects(const MemberTable &Table,
                                           model::Duration DeadAfter,
                                           model::TimePoint Now);

/// Forgets members that ended long ago.
void removeEnded(MemberTable &Table, model::Duration After,
                 model::TimePoint Now);

/// Members alive or only suspected, this process included.
std::vector<const model::Member *> liveMembers(const MemberTable &Table);

/// Digest of the live members and their incarnations.
std::uint64_t membersDigest(const MemberTable &Table);

bool isLive(const model::Member &Value);

} // namespace cumingauge::control
