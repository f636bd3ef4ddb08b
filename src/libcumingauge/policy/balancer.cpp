#include "policy/balancer.h"
#include "policy/balancerstate.h"
#include "policy/choice.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

Decision refuse(model::ResultCode Reason) {
  return {Verdict::Refuse, NoServer, Reason};
}

std::uint32_t serviceIndex(BalancerState &State, const std::string &Name) {
  const auto Index = static_cast<std::uint32_t>(State.Services_.size());
  const auto [Entry, IsNew] = State.ServiceByName_.try_emplace(Name, Index);
  if (IsNew)
    State.Services_.push_back({Name, {}, 0});
  return Entry->second;
}

ServerHandle serverHandle(BalancerState &State,
                          const model::BackendServer &Server) {
  const auto Handle = static_cast<ServerHandle>(State.Servers_.size());
  const auto [Entry, IsNew] = State.ServerByIdentity_.try_emplace(
      identityKey(Server.Name_, Server.Vm_), Handle);
  if (IsNew)
    State.Servers_.emplace_back();
  return Entry->second;
}

void takeServer(BalancerState &State, const model::BackendServer &Server,
                bool Leaving) {
  const ServerHandle Handle = serverHandle(State, Server);
  ServerRecord &Record = State.Servers_[Handle];
  Record.Server_ = Server;
  Record.Present_ = true;
  Record.Leaving_ = Leaving;
  Record.Service_ = serviceIndex(State, Server.Service_);
  if (!Leaving)
    State.Services_[Record.Service_].Members_.push_back(Handle);
}

/// True when the call surely never started on the server.
bool didNotRun(AttemptEnd End) {
  return End == AttemptEnd::Shed || End == AttemptEnd::Draining ||
         End == AttemptEnd::ConnectFailed;
}

} // namespace

std::string identityKey(const std::string &Name, const std::string &Vm) {
  return Name + '\0' + Vm;
}

std::shared_ptr<BalancerState>
makeBalancer(const std::string &Zone, unsigned Threads, std::uint64_t Seed) {
  auto State = std::make_shared<BalancerState>();
  State->Zone_ = Zone;
  State->Threads_ = std::max(Threads, 1u);
  State->Random_.seed(Seed);
  return State;
}

void applyView(BalancerState &State,
               const std::shared_ptr<const model::ControlView> &View,
               model::TimePoint) {
  State.View_ = View;
  if (!View || !View->Config_)
    return;
  const model::Preset *Preset = model::presetInForce(*View->Config_);
  State.Preset_ = Preset ? *Preset : model::Preset{};
  for (ServerRecord &Record : State.Servers_)
    Record.Present_ = false;
  for (ServiceRecord &Service : State.Services_)
    Service.Members_.clear();
  for (const auto &Entry : View->Config_->Servers_) {
    const model::BackendServer &Server = Entry.second;
    const bool Leaving = View->LeavingServers_.count(Server.Name_) ||
                         model::isMarkedLeaving(*View->Config_, Server);
    takeServer(State, Server, Leaving);
  }
}

const model::BackendServer &serverOf(const BalancerState &State,
                                     ServerHandle Server) {
  return State.Servers_.at(Server).Server_;
}

Decision admit(BalancerState &State, const CallFacts &Call,
               model::TimePoint Now) {
  if (Now >= Call.Deadline_)
    return refuse(model::ResultCode::NotRunDeadline);
  const auto Service = State.ServiceByName_.find(Call.Route_.Service_);
  if (Service == State.ServiceByName_.end())
    return refuse(model::ResultCode::NotRunNoServer);
  const ServerHandle Server =
      chooseServer(State, State.Services_[Service->second], Call.Tried_);
  if (Server == NoServer)
    return refuse(model::ResultCode::NotRunNoServer);
  ++State.Servers_[Server].InFlight_;
  return {Verdict::Dispatch, Server, model::ResultCode::Ok};
}

void forgetWaiting(BalancerState &, CallId) {}

std::vector<Release> releaseWaiting(BalancerState &, model::TimePoint) {
  return {};
}

void endAttempt(BalancerState &State, const CallFacts &, ServerHandle Server,
                AttemptEnd, model::Duration, model::TimePoint) {
  ServerRecord &Record = State.Servers_.at(Server);
  if (Record.InFlight_ > 0)
    --Record.InFlight_;
}

void noteReport(BalancerState &, ServerHandle, const model::LoadReport &,
                model::TimePoint) {}

bool mayRetry(BalancerState &State, const CallFacts &Call, AttemptEnd End,
              model::TimePoint Now) {
  if (End == AttemptEnd::Answered || End == AttemptEnd::Cancelled)
    return false;
  if (Call.Attempts_ >= State.Preset_.Retry_.MaxAttempts_)
    return false;
  if (Now >= Call.Deadline_)
    return false;
  return didNotRun(End) || (Call.Route_.Idempotent_ && !Call.Nested_);
}

std::optional<model::TimePoint> hedgeTime(const BalancerState &,
                                          const CallFacts &, model::TimePoint) {
  return std::nullopt;
}

std::optional<ServerHandle> mayHedge(BalancerState &, const CallFacts &,
                                     model::TimePoint) {
  return std::nullopt;
}

std::vector<ProbeOrder> dueProbes(BalancerState &, model::TimePoint) {
  return {};
}

void noteProbeFailed(BalancerState &, ServerHandle, model::TimePoint) {}

ConnectionShare connectionShare(const BalancerState &State,
                                ServerHandle Server) {
  const ServerRecord &Record = State.Servers_.at(Server);
  const model::ServerLimits &Limits = State.Preset_.Servers_;
  const unsigned Deciders =
      State.Threads_ *
      (State.View_ ? std::max(State.View_->FleetSize_, 1u) : 1);
  const unsigned Limit = std::max(Limits.MaxConnections_ / Deciders, 1u);
  if (!Record.Present_ || Record.Leaving_)
    return {Limit, 0};
  const unsigned Warm =
      (Limits.WarmConnections_ + State.Threads_ - 1) / State.Threads_;
  return {Limit, std::min(Warm, Limit)};
}

std::vector<model::ServerActivity> activity(const BalancerState &State) {
  std::vector<model::ServerActivity> Out;
  for (const ServerRecord &Record : State.Servers_)
    if (Record.Present_ || Record.InFlight_ > 0)
      Out.push_back({Record.Server_.Name_, Record.Server_.Vm_, Record.InFlight_,
                     0, Record.Leaving_});
  return Out;
}

std::optional<ServerHandle> findServer(const BalancerState &State,
                                       const std::string &Name,
                                       const std::string &Vm) {
  const auto Found = State.ServerByIdentity_.find(identityKey(Name, Vm));
  if (Found == State.ServerByIdentity_.end())
    return std::nullopt;
  return Found->second;
}

} // namespace cumingauge::policy
