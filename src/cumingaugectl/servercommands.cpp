#include "servercommands.h"
#include "codec/describedjson.h"
#include "configreader.h"
#include "documents.h"
#include "table.h"
#include "text.h"
#include "waiting.h"
#include <algorithm>
#include <ostream>

namespace cumingauge::ctl {

namespace {

using codec::Json;
using model::ResultCode;

/// Servers written by one change; a few hundred stay well below the largest
/// value of the store.
constexpr std::size_t ServersPerChange = 500;

/// A server with the version that it was read at.
struct ServerAtVersion {
  model::BackendServer Server_;
  std::uint64_t Version_ = 0;
};

boost::leaf::result<ServerAtVersion> findServer(const Context &With,
                                                const std::string &Name) {
  StoreCalls Store(With.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, With.Settings_));
  const auto Found = Reader.State_.Servers_.find(Name);
  if (Found == Reader.State_.Servers_.end())
    return fail(ResultCode::ChangeRefused, "there is no server " + Name);
  return ServerAtVersion{Found->second, Reader.State_.Version_};
}

std::vector<model::BackendServer> newServers(const DeploymentDocument &Wanted,
                                             const model::ConfigState &State) {
  std::vector<model::BackendServer> Out;
  for (const model::BackendServer &Server : Wanted.Servers_) {
    const auto Known = State.Servers_.find(Server.Name_);
    if (Known == State.Servers_.end() || Known->second != Server)
      Out.push_back(Server);
  }
  return Out;
}

/// The changes that lead from a state to a deployment.
std::vector<model::ChangeAction>
actionsTowards(const DeploymentDocument &Wanted,
               const model::ConfigState &State) {
  std::vector<model::ChangeAction> Out;
  for (const model::Preset &Preset : Wanted.Presets_) {
    const auto Known = State.Presets_.find(Preset.Name_);
    if (Known == State.Presets_.end() || Known->second != Preset)
      Out.emplace_back(model::PutPreset{Preset});
  }
  const std::vector<model::BackendServer> Servers = newServers(Wanted, State);
  for (std::size_t At = 0; At < Servers.size(); At += ServersPerChange) {
    const std::size_t End = std::min(At + ServersPerChange, Servers.size());
    Out.emplace_back(
        model::PutServers{{Servers.begin() + At, Servers.begin() + End}});
  }
  if (!Wanted.Choose_.empty() && Wanted.Choose_ != State.PresetInForce_)
    Out.emplace_back(model::ChoosePreset{Wanted.Choose_});
  return Out;
}

} // namespace

CommandResult listServers(const Context &With) {
  StoreCalls Store(With.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, With.Settings_));
  const model::ConfigState &State = Reader.State_;
  if (With.Json_) {
    Json Out{{"version", State.Version_}};
    Out["servers"] = codec::toJson(State.Servers_);
    Out["leavingVms"] = codec::toJson(State.LeavingVms_);
    With.Out_ << printable(Out) << "\n";
    return ResultCode::Ok;
  }
  Table Out{{"SERVER", "SERVICE", "ZONE", "ADDRESS", "SLOTS", "VM", "STATE"},
            {}};
  for (const auto &[Name, Server] : State.Servers_)
    Out.Rows_.push_back(
        {Name, Server.Service_, Server.Zone_,
         Server.Host_ + ":" + std::to_string(Server.Port_),
         std::to_string(Server.Slots_), Server.Vm_,
         model::isMarkedLeaving(State, Server) ? "leaving" : "in service"});
  print(With.Out_, Out);
  return ResultCode::Ok;
}

CommandResult putServers(const Context &With, const std::string &File,
                         const SubmitOptions &Options) {
  BOOST_LEAF_AUTO(Servers, readServers(File));
  if (Servers.size() == 1)
    return change(With, model::PutServer{Servers.front()}, Options);
  return change(With, model::PutServers{Servers}, Options);
}

CommandResult leaveServer(const Context &With, const std::string &Name,
                          SubmitOptions Options, bool Wait) {
  BOOST_LEAF_AUTO(Found, findServer(With, Name));
  if (!Options.SeenVersion_)
    Options.SeenVersion_ = Found.Version_;
  const model::BackendServer &Server = Found.Server_;
  const control::WriteOutcome Outcome =
      submit(With, model::MarkLeaving{Server.Name_, Server.Vm_}, Options);
  return concludeChange(With, Outcome, Wait,
                        WaitSubject{Server.Name_, Server.Vm_});
}

CommandResult returnServer(const Context &With, const std::string &Name,
                           SubmitOptions Options) {
  BOOST_LEAF_AUTO(Found, findServer(With, Name));
  if (!Options.SeenVersion_)
    Options.SeenVersion_ = Found.Version_;
  return change(With, model::ReturnServer{Name, Found.Server_.Vm_}, Options);
}

CommandResult removeServer(const Context &With, const std::string &Name,
                           const SubmitOptions &Options) {
  return change(With, model::RemoveServer{Name}, Options);
}

CommandResult initialize(const Context &With, const std::string &File,
                         const SubmitOptions &Options) {
  BOOST_LEAF_AUTO(Wanted, readDeployment(File));
  StoreCalls Store(With.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, With.Settings_));
  for (const model::ChangeAction &Action :
       actionsTowards(Wanted, Reader.State_)) {
    const ResultCode Code = change(With, Action, Options);
    if (Code != ResultCode::Ok)
      return Code;
  }
  return ResultCode::Ok;
}

} // namespace cumingauge::ctl
