#include "control/leavingtable.h"

namespace cumingauge::control {

bool recordLeaving(LeavingTable &Table, const ServerIdentity &Server,
                   model::TimePoint Now) {
  const model::TimePoint Until = Now + LeavingTtl;
  const auto [Entry, IsNew] = Table.ExpiresAt_.try_emplace(Server, Until);
  if (IsNew)
    return true;
  if (Until - Entry->second < LeavingTtl / 2)
    return false;
  Entry->second = Until;
  return true;
}

bool dropExpired(LeavingTable &Table, model::TimePoint Now) {
  bool Dropped = false;
  for (auto It = Table.ExpiresAt_.begin(); It != Table.ExpiresAt_.end();) {
    const bool Lapsed = It->second <= Now;
    Dropped = Dropped || Lapsed;
    It = Lapsed ? Table.ExpiresAt_.erase(It) : std::next(It);
  }
  return Dropped;
}

std::set<std::string> leavingServers(const LeavingTable &Table,
                                     const model::ConfigState &Config) {
  std::set<std::string> Out;
  const auto AddIfOnVm = [&](const std::string &Name, const std::string &Vm) {
    const auto Server = Config.Servers_.find(Name);
    if (Server != Config.Servers_.end() && Server->second.Vm_ == Vm)
      Out.insert(Name);
  };
  for (const auto &[Name, Vm] : Config.LeavingVms_)
    AddIfOnVm(Name, Vm);
  for (const auto &[Server, Until] : Table.ExpiresAt_)
    AddIfOnVm(Server.Server_, Server.Vm_);
  return Out;
}

std::vector<ServerIdentity> serversOn(const std::set<std::string> &Vms,
                                      const model::ConfigState &Config) {
  std::vector<ServerIdentity> Out;
  if (Vms.empty())
    return Out;
  for (const auto &[Name, Server] : Config.Servers_)
    if (Vms.count(Server.Vm_))
      Out.push_back({Name, Server.Vm_});
  return Out;
}

} // namespace cumingauge::control
