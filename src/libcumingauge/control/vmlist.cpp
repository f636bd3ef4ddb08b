#include "control/vmlist.h"
#include "control/corestate.h"
#include "control/linkchoice.h"
#include "control/serverreports.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

constexpr const char *EntryRole = "cumingauge";
constexpr model::seconds EntryVmCountTtl{60};
constexpr model::seconds CallTimeout{15};
/// Fleet size above which processes that do not watch the store fetch the list
/// less often.
constexpr unsigned MaxFleetAtFullRate = 8;

bool isEntryVm(const CoreState &State, const ports::VmEntry &Vm) {
  return Vm.Role_ == EntryRole || findMember(State.Members_, Vm.Vm_) != nullptr;
}

void recordLeavingVms(CoreState &State,
                      const std::vector<ports::VmEntry> &Vms) {
  std::set<std::string> Leaving;
  for (const ports::VmEntry &Vm : Vms)
    if (Vm.Leaving_)
      Leaving.insert(Vm.Vm_);
  for (const ServerIdentity &Server : serversOn(Leaving, *State.Log_.State_))
    applyLeavingReport(State, Server, /*From=*/std::nullopt);
}

} // namespace

void pollVmList(CoreState &State) {
  VmList &List = State.Vms_;
  if (List.Call_ != 0 && State.Now_ - List.IssuedAt_ >= CallTimeout)
    List.Call_ = 0;
  if (List.Call_ != 0 || State.Now_ < List.NextAt_)
    return;
  ports::StoreRequest Request;
  Request.Operation_ = ports::StoreOperation::ListVms;
  List.Call_ = callStore(State, std::move(Request));
  List.IssuedAt_ = State.Now_;
  const model::Duration Period = State.Settings_.VmListPeriod_;
  const unsigned PeriodFactor =
      std::max(1U, fleetSize(State) / MaxFleetAtFullRate);
  List.NextAt_ =
      State.Now_ +
      jittered(State, isWatcher(State) ? Period : Period * PeriodFactor);
}

bool handleVmListResponse(CoreState &State, StoreCallId Call,
                          const ports::StoreResponse &Response) {
  VmList &List = State.Vms_;
  if (Call != List.Call_)
    return false;
  List.Call_ = 0;
  if (Response.Code_ != model::ResultCode::Ok)
    return true;
  List.EntryVms_ = static_cast<unsigned>(
      std::count_if(Response.Vms_.begin(), Response.Vms_.end(),
                    [&](const auto &Vm) { return isEntryVm(State, Vm); }));
  List.EntryVmsAt_ = List.IssuedAt_;
  recordLeavingVms(State, Response.Vms_);
  State.ViewChanged_ = true;
  return true;
}

void recordEntryVms(CoreState &State, const Heartbeat &Message) {
  if (!Message.EntryVms_ || Message.EntryVms_->Count_ == 0)
    return;
  VmList &List = State.Vms_;
  const model::Duration Age = model::milliseconds(Message.EntryVms_->AgeMs_);
  if (Age >= EntryVmCountTtl)
    return;
  const model::TimePoint FetchedAt = State.Now_ - Age;
  if (List.EntryVmsAt_ && *List.EntryVmsAt_ >= FetchedAt)
    return;
  List.EntryVmsAt_ = FetchedAt;
  if (List.EntryVms_ != Message.EntryVms_->Count_)
    State.ViewChanged_ = true;
  List.EntryVms_ = Message.EntryVms_->Count_;
}

unsigned listedEntryVms(const CoreState &State) {
  const VmList &List = State.Vms_;
  const bool IsKnown =
      List.EntryVmsAt_ && (State.Settings_.FollowsDirectory_ ||
                           State.Now_ - *List.EntryVmsAt_ < EntryVmCountTtl);
  return IsKnown ? List.EntryVms_ : 0;
}

} // namespace cumingauge::control
