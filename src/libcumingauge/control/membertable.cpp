#include "control/membertable.h"
#include "control/rendezvous.h"

namespace cumingauge::control {

namespace {

using model::Member;
using model::MemberStatus;

MemberEffect effectOf(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return MemberEffect::Updated;
  case MemberStatus::Suspected:
    return MemberEffect::Suspected;
  case MemberStatus::Dead:
    return MemberEffect::Dead;
  case MemberStatus::Left:
    return MemberEffect::Left;
  }
  return MemberEffect::None;
}

MemberEffect mergeSelf(MemberRecord &Self, const Member &Update,
                       model::TimePoint Now) {
  const bool IsWrong = Update.Incarnation_ > Self.Member_.Incarnation_ ||
                       (Update.Incarnation_ == Self.Member_.Incarnation_ &&
                        Update.Status_ != MemberStatus::Alive);
  if (!IsWrong || Self.Member_.Status_ == MemberStatus::Left)
    return MemberEffect::None;
  Self.Member_.Incarnation_ = Update.Incarnation_ + 1;
  Self.Changed_ = Now;
  return MemberEffect::Refuted;
}

bool supersedes(const Member &Update, const Member &Known) {
  if (Update.Incarnation_ != Known.Incarnation_)
    return Update.Incarnation_ > Known.Incarnation_;
  return Update.Status_ > Known.Status_;
}

} // namespace

bool isLive(const Member &Value) {
  return Value.Status_ == MemberStatus::Alive ||
         Value.Status_ == MemberStatus::Suspected;
}

MemberEffect mergeMember(MemberTable &Table, const Member &Update,
                         model::TimePoint Now) {
  const auto Found = Table.Records_.find(Update.Process_);
  if (Update.Process_ == Table.Self_)
    return Found == Table.Records_.end()
               ? MemberEffect::None
               : mergeSelf(Found->second, Update, Now);
  if (Found == Table.Records_.end()) {
    if (!isLive(Update))
      return MemberEffect::None;
    Table.Records_[Update.Process_] = {Update, Now};
    return MemberEffect::Joined;
  }
  MemberRecord &Record = Found->second;
  if (!supersedes(Update, Record.Member_))
    return MemberEffect::None;
  const bool WasLive = isLive(Record.Member_);
  Record = {Update, Now};
  return !WasLive && isLive(Update) ? MemberEffect::Joined
                                    : effectOf(Update.Status_);
}

const MemberRecord *findMember(const MemberTable &Table,
                               const std::string &Process) {
  const auto Found = Table.Records_.find(Process);
  return Found == Table.Records_.end() ? nullptr : &Found->second;
}

std::vector<Member> expiredSuspects(const MemberTable &Table,
                                    model::Duration DeadAfter,
                                    model::TimePoint Now) {
  std::vector<Member> Out;
  for (const auto &[Name, Record] : Table.Records_)
    if (Record.Member_.Status_ == MemberStatus::Suspected &&
        Now - Record.Changed_ >= DeadAfter)
      Out.push_back(Record.Member_);
  return Out;
}

void removeEnded(MemberTable &Table, model::Duration After,
                 model::TimePoint Now) {
  for (auto It = Table.Records_.begin(); It != Table.Records_.end();) {
    const MemberRecord &Record = It->second;
    const bool Old = !isLive(Record.Member_) && Now - Record.Changed_ >= After;
    It = Old && It->first != Table.Self_ ? Table.Records_.erase(It)
                                         : std::next(It);
  }
}

std::vector<const Member *> liveMembers(const MemberTable &Table) {
  std::vector<const Member *> Out;
  for (const auto &[Name, Record] : Table.Records_)
    if (isLive(Record.Member_))
      Out.push_back(&Record.Member_);
  return Out;
}

std::uint64_t membersDigest(const MemberTable &Table) {
  std::uint64_t Out = 0;
  for (const Member *Live : liveMembers(Table))
    Out ^= rendezvousWeight(std::to_string(Live->Incarnation_), Live->Process_);
  return Out;
}

} // namespace cumingauge::control
