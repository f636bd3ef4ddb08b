#include "policy/balancerstate.h"
#include "policy/subset.h"
#include <algorithm>
#define XXH_INLINE_ALL // the CMake package has no target to link
#include <xxhash.h>

namespace cumingauge::policy {

namespace {

std::uint32_t serviceIndex(BalancerState &State, const std::string &Name) {
  const auto Index = static_cast<std::uint32_t>(State.Services_.size());
  const auto [Entry, IsNew] = State.ServiceByName_.try_emplace(Name, Index);
  if (IsNew) {
    State.Services_.emplace_back();
    State.Services_.back().Name_ = Name;
  }
  return Entry->second;
}

/// \param FirstView servers of the first view are taken for warm.
ServerHandle serverHandle(BalancerState &State,
                          const model::BackendServer &Server, bool FirstView,
                          model::TimePoint Now) {
  const auto Handle = static_cast<ServerHandle>(State.Servers_.size());
  const auto [Entry, IsNew] = State.ServerByIdentity_.try_emplace(
      identityKey(Server.Name_, Server.Vm_), Handle);
  if (IsNew) {
    State.Servers_.emplace_back();
    State.Servers_.back().Slots_ = std::max(Server.Slots_, 1u);
    const model::Duration SlowStart = State.Preset_.Ejection_.SlowStart_;
    if (Server.ColdFor_ > model::milliseconds(0))
      State.Servers_.back().RampStart_ = Now + Server.ColdFor_ - SlowStart;
    else if (!FirstView)
      State.Servers_.back().RampStart_ = Now;
  }
  return Entry->second;
}

void takeServer(BalancerState &State, const model::BackendServer &Server,
                bool Leaving, bool FirstView, model::TimePoint Now) {
  const ServerHandle Handle = serverHandle(State, Server, FirstView, Now);
  ServerRecord &Record = State.Servers_[Handle];
  if (Record.Leaving_ && !Leaving)
    Record.Draining_ = false; // the operators took the mark back
  if (Record.Server_.Slots_ != Server.Slots_)
    Record.Slots_ = std::max(Server.Slots_, 1u);
  const bool Moved =
      Record.InFlight_ == 0 || Record.Server_.Service_ == Server.Service_;
  if (Moved)
    Record.Service_ = serviceIndex(State, Server.Service_);
  Record.Server_ = Server;
  Record.Present_ = true;
  Record.Leaving_ = Leaving;
  Record.SameZone_ = Server.Zone_ == State.Zone_;
  if (!Leaving)
    State.Services_[Record.Service_].Members_.push_back(Handle);
}

void startMembers(ServiceRecord &Service) {
  Service.FormerMembers_.swap(Service.Members_);
  Service.Members_.clear();
}

void takeServers(BalancerState &State, const model::ControlView &View,
                 bool FirstView, model::TimePoint Now) {
  for (ServerRecord &Record : State.Servers_)
    Record.Present_ = false;
  for (ServiceRecord &Service : State.Services_)
    startMembers(Service);
  for (const auto &Entry : View.Config_->Servers_) {
    const model::BackendServer &Server = Entry.second;
    const bool Leaving = View.LeavingServers_.count(Server.Name_) > 0 ||
                         model::isMarkedLeaving(*View.Config_, Server);
    takeServer(State, Server, Leaving, FirstView, Now);
  }
}

/// Threads that share a place use the same servers: a place then counts as
/// that many users.
unsigned maxUsers(const BalancerState &State) {
  const unsigned Limit = State.Preset_.Servers_.MaxConnections_;
  return std::max(State.Thread_ ? Limit : Limit / State.Threads_, 1u);
}

void summarize(const BalancerState &State, ServiceRecord &Service) {
  Service.Slots_ = 0;
  Service.Ejected_ = 0;
  for (const ServerHandle Handle : Service.Members_) {
    const ServerRecord &Record = State.Servers_[Handle];
    Service.Slots_ += Record.Slots_;
    Service.Ejected_ += Record.Outlier_.Standing_ != Standing::Good;
  }
}

/// This thread's share of the retries that the fleet may make at once.
double retryCap(const BalancerState &State) {
  const double Burst = State.Preset_.Retry_.Burst_;
  return Burst > 0 ? Burst / State.Deciders_ : TokenBucket().Cap_;
}

RingPlace ringPlaceOf(const BalancerState &State, ServerHandle Handle) {
  const model::BackendServer &Server = State.Servers_[Handle].Server_;
  const std::string Key = identityKey(Server.Name_, Server.Vm_);
  return {Handle, XXH64(Key.data(), Key.size(), 0)};
}

/// Place among the threads of the own zone.
FleetPlace zonePlace(const BalancerState &State) {
  const model::ControlView &View = *State.View_;
  return {View.ZoneSize_ * State.Threads_,
          View.ZoneRank_ * State.Threads_ + State.Thread_.value_or(0)};
}

/// Some servers of the own zone, and some of the others for when these do not
/// suffice.
std::vector<ServerHandle> cutByZone(const BalancerState &State,
                                    const ServiceRecord &Service) {
  std::vector<RingPlace> Near;
  std::vector<RingPlace> Far;
  for (const ServerHandle Handle : Service.Members_)
    (State.Servers_[Handle].SameZone_ ? Near : Far)
        .push_back(ringPlaceOf(State, Handle));
  std::vector<ServerHandle> Out =
      zoneSubsetOf(std::move(Near), zonePlace(State));
  const auto Others = zoneSubsetOf(std::move(Far), fleetPlace(State));
  Out.insert(Out.end(), Others.begin(), Others.end());
  return Out;
}

std::vector<ServerHandle> cutByFleet(const BalancerState &State,
                                     const ServiceRecord &Service) {
  std::vector<RingPlace> Ring;
  for (const ServerHandle Handle : Service.Members_)
    Ring.push_back(ringPlaceOf(State, Handle));
  return subsetOf(std::move(Ring), fleetPlace(State), maxUsers(State));
}

void cutSubset(BalancerState &State, ServiceRecord &Service) {
  for (const ServerHandle Handle : Service.Members_)
    State.Servers_[Handle].InSubset_ = false;
  Service.Subset_ = State.View_->ZoneSize_ > 0 ? cutByZone(State, Service)
                                               : cutByFleet(State, Service);
  for (const ServerHandle Handle : Service.Subset_)
    State.Servers_[Handle].InSubset_ = true;
}

} // namespace

FleetPlace fleetPlace(const BalancerState &State) {
  const unsigned Rank = State.View_ ? State.View_->FleetRank_ : 0;
  if (State.Thread_)
    return {State.Deciders_, Rank * State.Threads_ + *State.Thread_};
  return {State.Deciders_ / State.Threads_, Rank};
}

std::string identityKey(const std::string &Name, const std::string &Vm) {
  return Name + '\0' + Vm;
}

void applyView(BalancerState &State,
               const std::shared_ptr<const model::ControlView> &View,
               model::TimePoint Now) {
  if (!View || !View->Config_)
    return;
  const bool FirstView = !State.View_;
  const model::Preset *Chosen = model::presetInForce(*View->Config_);
  const model::Preset Preset = Chosen ? *Chosen : model::Preset{};
  const bool SharesChanged = FirstView ||
                             State.View_->ProbePlaces_ != View->ProbePlaces_ ||
                             State.View_->ProbeRank_ != View->ProbeRank_ ||
                             State.Preset_.Measuring_.ProbesPerSecond_ !=
                                 Preset.Measuring_.ProbesPerSecond_;
  const FleetPlace FormerPlace = fleetPlace(State);
  const FleetPlace FormerZonePlace =
      State.View_ ? zonePlace(State) : FleetPlace{};
  const unsigned FormerUsers = maxUsers(State);
  State.View_ = View;
  State.Preset_ = Preset;
  State.Deciders_ = std::max(View->FleetSize_, 1u) * State.Threads_;
  const bool CutAll = FirstView || FormerPlace != fleetPlace(State) ||
                      FormerZonePlace != zonePlace(State) ||
                      FormerUsers != maxUsers(State);
  takeServers(State, *View, FirstView, Now);
  for (ServiceRecord &Service : State.Services_) {
    summarize(State, Service);
    Service.Retries_.Cap_ = retryCap(State);
    if (CutAll || Service.Members_ != Service.FormerMembers_)
      cutSubset(State, Service);
    if (SharesChanged)
      holdProbes(Service.Probes_, Now);
  }
}

ConnectionShare connectionShare(const BalancerState &State,
                                ServerHandle Server) {
  const ServerRecord &Record = State.Servers_.at(Server);
  const model::ServerLimits &Limits = State.Preset_.Servers_;
  const unsigned Limit = std::max(Limits.MaxConnections_ / State.Deciders_, 1u);
  if (!Record.Present_ || Record.Leaving_ || Record.Draining_ ||
      !Record.InSubset_)
    return {Limit, 0};
  const unsigned Warm =
      (Limits.WarmConnections_ + State.Threads_ - 1) / State.Threads_;
  return {Limit, std::min(Warm, Limit)};
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
