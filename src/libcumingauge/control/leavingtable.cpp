#include "control/leavingtable.h"

namespace cumingauge::control {

bool noteLeaving(LeavingTable &Table, const ServerIdentity &Server,
                 model::TimePoint Now) {
  const model::TimePoint Until = Now + LeavingHold;
  const auto [Entry, IsNew] = Table.Until_.try_emplace(Server, Until);
  if (IsNew)
    return true;
  if (Until - Entry->second < LeavingHold / 2)
    return false;
  Entry->second = Until;
  return true;
}

bool dropLapsed(LeavingTable &Table, model::TimePoint Now) {
  bool Dropped = false;
  for (auto It = Table.Until_.begin(); It != Table.Until_.end();) {
    const bool Lapsed = It->second <= Now;
    Dropped = Dropped || Lapsed;
    It = Lapsed ? Table.Until_.erase(It) : std::next(It);
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
  for (const auto &[Server, Until] : Table.Until_)
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
