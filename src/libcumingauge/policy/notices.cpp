#include "policy/notices.h"
#include "policy/coldservers.h"
#include "policy/members.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

bool isPaused(const ServerRecord &Server, model::TimePoint Now) {
  return !Server.AnnouncedLeaving_ && Now < Server.PausedUntil_;
}

void updateMembersOf(BalancerState &State, const ServerRecord &Server,
                     model::TimePoint Now) {
  updateMembers(State, State.Services_[Server.Service_], Now);
}

} // namespace

bool isOpen(const ServerRecord &Server, model::TimePoint Now) {
  return !Server.AnnouncedLeaving_ && Now >= Server.PausedUntil_;
}

bool isOpen(const BalancerState &State, ServerHandle Server,
            model::TimePoint Now) {
  const ServerRecord &Record = State.Servers_.at(Server);
  return isOpen(Record, Now) && !isClosedByCold(State, Record, Now);
}

bool takesCalls(const BalancerState &State, ServerHandle Server,
                model::TimePoint Now) {
  const ServerRecord &Record = State.Servers_.at(Server);
  return Record.Present_ && !Record.Leaving_ && isOpen(State, Server, Now);
}

bool hasAnnouncedLeaving(const BalancerState &State, ServerHandle Server) {
  return State.Servers_.at(Server).AnnouncedLeaving_;
}

NoticeEffect applyNotice(BalancerState &State, ServerHandle Server,
                         const model::ServerNotice &Notice,
                         model::TimePoint Now) {
  ServerRecord &Record = State.Servers_.at(Server);
  if (Record.AnnouncedLeaving_)
    return NoticeEffect::None;
  const bool BecameCold = Notice.ColdFor_ > model::milliseconds(0) &&
                          recordCold(State, Server, Notice.ColdFor_, Now);
  if (BecameCold)
    updateMembersOf(State, Record, Now);
  const bool WasOpen = isOpen(Record, Now);
  Record.AnnouncedLeaving_ = Notice.IsLeaving_;
  if (Notice.Pause_ > model::milliseconds(0))
    Record.PausedUntil_ = std::max(Record.PausedUntil_, Now + Notice.Pause_);
  if (!WasOpen && !Notice.IsLeaving_)
    return NoticeEffect::None;
  if (isOpen(Record, Now))
    return BecameCold ? NoticeEffect::Cold : NoticeEffect::None;
  if (WasOpen)
    updateMembersOf(State, Record, Now);
  if (Notice.IsLeaving_)
    return NoticeEffect::Left;
  // A pause that has ended a moment ago may still be in the list.
  auto &Paused = State.Paused_;
  if (std::find(Paused.begin(), Paused.end(), Server) == Paused.end())
    Paused.push_back(Server);
  return NoticeEffect::Paused;
}

std::vector<ServerHandle> endPauses(BalancerState &State,
                                    model::TimePoint Now) {
  std::vector<ServerHandle> Ended;
  auto &Paused = State.Paused_;
  const auto First = std::stable_partition(
      Paused.begin(), Paused.end(), [&](ServerHandle Handle) {
        return isPaused(State.Servers_[Handle], Now);
      });
  for (auto It = First; It != Paused.end(); ++It)
    if (!State.Servers_[*It].AnnouncedLeaving_)
      Ended.push_back(*It);
  Paused.erase(First, Paused.end());
  for (const ServerHandle Handle : Ended)
    updateMembersOf(State, State.Servers_[Handle], Now);
  return Ended;
}

model::Duration timeToFirstOpen(const BalancerState &State,
                                const ServiceRecord &Service,
                                model::TimePoint Now) {
  model::Duration Out = model::Duration::zero();
  for (const ServerHandle Handle : Service.Listed_) {
    const ServerRecord &Server = State.Servers_[Handle];
    const bool IsCold = isClosedByCold(State, Server, Now);
    if (Server.AnnouncedLeaving_ || (!isPaused(Server, Now) && !IsCold))
      continue;
    const model::Duration Left =
        std::max(Server.PausedUntil_,
                 IsCold ? Server.ColdUntil_ : Server.PausedUntil_) -
        Now;
    Out = Out == model::Duration::zero() ? Left : std::min(Out, Left);
  }
  return Out;
}

NoticeCounts countNotices(const BalancerState &State, model::TimePoint Now) {
  NoticeCounts Out;
  for (const ServerRecord &Server : State.Servers_) {
    if (!Server.Present_ || Server.Leaving_)
      continue;
    Out.Leaving_ += Server.AnnouncedLeaving_;
    Out.Paused_ += isPaused(Server, Now);
  }
  return Out;
}

} // namespace cumingauge::policy
