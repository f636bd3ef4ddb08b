#include "policy/balancerstate.h"
#include "policy/coldservers.h"
#include "policy/members.h"
#include "policy/notices.h"
#include "policy/subset.h"
#include <algorithm>
#include <utility>
#define XXH_INLINE_ALL // the CMake package has no target to link
#include <xxhash.h>

namespace cumingauge::policy {

namespace {

/// Returns the index of a service and adds the service on first use.
std::uint32_t findOrAddService(BalancerState &State, const std::string &Name) {
  const auto Index = static_cast<std::uint32_t>(State.Services_.size());
  const auto [Entry, IsNew] = State.ServiceByName_.try_emplace(Name, Index);
  if (IsNew) {
    State.Services_.emplace_back();
    State.Services_.back().Name_ = Name;
  }
  return Entry->second;
}

/// Returns the handle of a server and adds the server on first use.
/// \param FirstView whether this is the first view; its servers count as warm.
ServerHandle findOrAddServer(BalancerState &State,
                             const model::BackendServer &Server, bool FirstView,
                             model::TimePoint Now) {
  const auto Handle = static_cast<ServerHandle>(State.Servers_.size());
  const auto [Entry, IsNew] = State.ServerByIdentity_.try_emplace(
      identityKey(Server.Name_, Server.Vm_), Handle);
  if (IsNew) {
    State.Servers_.emplace_back();
    State.Servers_.back().Slots_ = std::max(Server.Slots_, 1u);
    if (Server.ColdFor_ == model::milliseconds(0) && !FirstView)
      State.Servers_.back().RampStart_ = Now;
  }
  return Entry->second;
}

/// Updates the record of one server from a view, and adds the server to the
/// members of its service unless it is leaving.
void updateServer(BalancerState &State, const model::BackendServer &Server,
                  bool Leaving, bool FirstView, model::TimePoint Now) {
  const ServerHandle Handle = findOrAddServer(State, Server, FirstView, Now);
  ServerRecord &Record = State.Servers_[Handle];
  if (Server.ColdFor_ > model::milliseconds(0) &&
      (Record.Server_.Name_.empty() ||
       Record.Server_.ColdSpell_ != Server.ColdSpell_))
    recordCold(State, Handle, Server.ColdFor_, Now);
  const bool Evacuated = model::isEvacuated(*State.View_->Config_, Server);
  if (std::exchange(Record.Evacuated_, Evacuated) && !Evacuated)
    Record.RampStart_ = Now; // the load returns gradually
  if (Record.Leaving_ && !Leaving)
    Record.Draining_ = false; // the operator has removed the mark
  if (Record.Server_.Slots_ != Server.Slots_)
    Record.Slots_ = std::max(Server.Slots_, 1u);
  const bool CanMove =
      Record.InFlight_ == 0 || Record.Server_.Service_ == Server.Service_;
  if (CanMove)
    Record.Service_ = findOrAddService(State, Server.Service_);
  Record.Server_ = Server;
  Record.Present_ = true;
  Record.Leaving_ = Leaving;
  Record.SameZone_ = Server.Zone_ == State.Zone_;
  if (!Leaving)
    State.Services_[Record.Service_].Listed_.push_back(Handle);
}

/// Selects the members among the listed servers, and saves the former ones.
void selectMembers(const BalancerState &State, ServiceRecord &Service,
                   model::TimePoint Now) {
  Service.FormerMembers_.swap(Service.Members_);
  Service.Members_.clear();
  for (const ServerHandle Handle : Service.Listed_)
    if (isOpen(State, Handle, Now))
      Service.Members_.push_back(Handle);
}

/// Updates the records of all servers from a view.
void updateServers(BalancerState &State, const model::ControlView &View,
                   bool FirstView, model::TimePoint Now) {
  for (ServerRecord &Record : State.Servers_)
    Record.Present_ = false;
  for (ServiceRecord &Service : State.Services_)
    Service.Listed_.clear();
  for (const auto &Entry : View.Config_->Servers_) {
    const model::BackendServer &Server = Entry.second;
    const bool Leaving = View.LeavingServers_.count(Server.Name_) > 0 ||
                         model::isMarkedLeaving(*View.Config_, Server) ||
                         model::isEvacuated(*View.Config_, Server);
    updateServer(State, Server, Leaving, FirstView, Now);
  }
}

/// Returns how many threads may have one server of a service in their subset.
/// Threads that share a rank use the same servers, so one rank counts as that
/// many users.
unsigned maxUsers(const BalancerState &State, const ServiceRecord &Service) {
  const unsigned Limit = model::maxConnections(State.Preset_, Service.Name_);
  return std::max(State.Thread_ ? Limit : Limit / State.Threads_, 1u);
}

/// Updates the slots of a service and its number of ejected servers.
void updateTotals(const BalancerState &State, ServiceRecord &Service) {
  Service.Slots_ = 0;
  Service.Ejected_ = 0;
  for (const ServerHandle Handle : Service.Members_) {
    const ServerRecord &Record = State.Servers_[Handle];
    Service.Slots_ += Record.Slots_;
    Service.Ejected_ +=
        Record.Outlier_.EjectionState_ != EjectionState::Healthy;
  }
}

/// Returns this thread's share of the retries that the fleet may make in a
/// burst.
double retryCap(const BalancerState &State) {
  const double Burst = State.Preset_.Retry_.Burst_;
  return Burst > 0 ? Burst / State.FleetThreads_ : TokenBucket().Cap_;
}

/// Returns the ring entry of a server; its hash is the same in every process.
RingEntry ringEntryOf(const BalancerState &State, ServerHandle Handle) {
  const model::BackendServer &Server = State.Servers_[Handle].Server_;
  const std::string Key = identityKey(Server.Name_, Server.Vm_);
  return {Handle, XXH64(Key.data(), Key.size(), 0)};
}

/// Returns the rank of this thread among those of its availability zone.
ThreadRank zoneRank(const BalancerState &State) {
  const model::ControlView &View = *State.View_;
  return {View.ZoneSize_ * State.Threads_,
          View.ZoneRank_ * State.Threads_ + State.Thread_.value_or(0)};
}

/// Returns a subset of the own zone's servers, and after it one of the other
/// zones for when these do not suffice.
std::vector<ServerHandle> zoneSubset(const BalancerState &State,
                                     const std::vector<ServerHandle> &Members) {
  std::vector<RingEntry> OwnZone;
  std::vector<RingEntry> OtherZones;
  for (const ServerHandle Handle : Members)
    (State.Servers_[Handle].SameZone_ ? OwnZone : OtherZones)
        .push_back(ringEntryOf(State, Handle));
  std::vector<ServerHandle> Out =
      zoneSubsetOf(std::move(OwnZone), zoneRank(State));
  const auto OtherSubset =
      zoneSubsetOf(std::move(OtherZones), fleetRank(State));
  Out.insert(Out.end(), OtherSubset.begin(), OtherSubset.end());
  return Out;
}

/// Returns a subset of all servers of the service.
std::vector<ServerHandle> fleetSubset(const BalancerState &State,
                                      const std::vector<ServerHandle> &Members,
                                      unsigned MaxUsers) {
  std::vector<RingEntry> Ring;
  for (const ServerHandle Handle : Members)
    Ring.push_back(ringEntryOf(State, Handle));
  return subsetOf(std::move(Ring), fleetRank(State), MaxUsers);
}

/// Selects the subset of a service anew. The cold servers that this thread uses
/// come beside the others, since no other thread stands in for it.
void selectSubset(BalancerState &State, ServiceRecord &Service,
                  model::TimePoint Now) {
  for (const ServerHandle Handle : Service.Listed_)
    State.Servers_[Handle].InSubset_ = false;
  std::vector<ServerHandle> Warm;
  std::vector<ServerHandle> Cold;
  for (const ServerHandle Handle : Service.Members_)
    (isLimitedByCold(State, State.Servers_[Handle], Now) ? Cold : Warm)
        .push_back(Handle);
  Service.MaxUsers_ = maxUsers(State, Service);
  Service.Subset_ = State.View_->ZoneSize_ > 0
                        ? zoneSubset(State, Warm)
                        : fleetSubset(State, Warm, Service.MaxUsers_);
  Service.Subset_.insert(Service.Subset_.end(), Cold.begin(), Cold.end());
  for (const ServerHandle Handle : Service.Subset_)
    State.Servers_[Handle].InSubset_ = true;
}

} // namespace

ThreadRank fleetRank(const BalancerState &State) {
  const unsigned Rank = State.View_ ? State.View_->FleetRank_ : 0;
  if (State.Thread_)
    return {State.FleetThreads_, Rank * State.Threads_ + *State.Thread_};
  return {State.FleetThreads_ / State.Threads_, Rank};
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
                             State.View_->ProberCount_ != View->ProberCount_ ||
                             State.View_->ProberRank_ != View->ProberRank_ ||
                             State.Preset_.Measuring_.ProbesPerSecond_ !=
                                 Preset.Measuring_.ProbesPerSecond_;
  const ThreadRank FormerFleetRank = fleetRank(State);
  const ThreadRank FormerZoneRank =
      State.View_ ? zoneRank(State) : ThreadRank{};
  State.View_ = View;
  State.Preset_ = Preset;
  if (FirstView)
    State.StartedAt_ = Now;
  State.FleetThreads_ = std::max(View->FleetSize_, 1u) * State.Threads_;
  const bool ReselectAll = FirstView || FormerFleetRank != fleetRank(State) ||
                           FormerZoneRank != zoneRank(State);
  updateServers(State, *View, FirstView, Now);
  updateColdUsers(State);
  for (ServiceRecord &Service : State.Services_) {
    selectMembers(State, Service, Now);
    updateTotals(State, Service);
    Service.Retries_.Cap_ = retryCap(State);
    if (ReselectAll || Service.Members_ != Service.FormerMembers_ ||
        Service.MaxUsers_ != maxUsers(State, Service))
      selectSubset(State, Service, Now);
    if (SharesChanged)
      delayProbes(Service.Probes_, Now);
  }
}

void updateMembers(BalancerState &State, ServiceRecord &Service,
                   model::TimePoint Now) {
  selectMembers(State, Service, Now);
  updateTotals(State, Service);
  selectSubset(State, Service, Now);
}

ConnectionShare connectionShare(const BalancerState &State,
                                ServerHandle Server) {
  const ServerRecord &Record = State.Servers_.at(Server);
  const model::ServerLimits &Limits = State.Preset_.Servers_;
  const std::string &Service = State.Services_[Record.Service_].Name_;
  const unsigned Limit = std::max(
      model::maxConnections(State.Preset_, Service) / State.FleetThreads_, 1u);
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
