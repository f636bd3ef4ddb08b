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

/// Most servers written by one change; a few hundred stay well below the
/// largest value that the store accepts.
constexpr std::size_t ServersPerChange = 500;

/// A server and the version of the configuration that it was read from.
struct ServerAtVersion {
  model::BackendServer Server_;
  std::uint64_t Version_ = 0;
};

boost::leaf::result<ServerAtVersion> findServer(const Context &Ctx,
                                                const std::string &Name) {
  BlockingStoreClient Store(Ctx.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, Ctx.Settings_));
  const auto Found = Reader.State_.Servers_.find(Name);
  if (Found == Reader.State_.Servers_.end())
    return fail(ResultCode::ChangeRefused, "there is no server " + Name);
  return ServerAtVersion{Found->second, Reader.State_.Version_};
}

std::vector<model::BackendServer>
addedOrChangedServers(const DeploymentDocument &Wanted,
                      const model::ConfigState &State) {
  std::vector<model::BackendServer> Out;
  for (const model::BackendServer &Server : Wanted.Servers_) {
    const auto Known = State.Servers_.find(Server.Name_);
    if (Known == State.Servers_.end() || Known->second != Server)
      Out.push_back(Server);
  }
  return Out;
}

/// Returns the changes that bring a configuration to a wanted deployment.
std::vector<model::ChangeAction>
changesNeeded(const DeploymentDocument &Wanted,
              const model::ConfigState &State) {
  std::vector<model::ChangeAction> Out;
  for (const model::Preset &Preset : Wanted.Presets_) {
    const auto Known = State.Presets_.find(Preset.Name_);
    if (Known == State.Presets_.end() || Known->second != Preset)
      Out.emplace_back(model::PutPreset{Preset});
  }
  const std::vector<model::BackendServer> Servers =
      addedOrChangedServers(Wanted, State);
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

CommandResult listServers(const Context &Ctx) {
  BlockingStoreClient Store(Ctx.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, Ctx.Settings_));
  const model::ConfigState &State = Reader.State_;
  if (Ctx.Json_) {
    Json Out{{"version", State.Version_}};
    Out["servers"] = codec::toJson(State.Servers_);
    Out["leavingVms"] = codec::toJson(State.LeavingVms_);
    Ctx.Out_ << printable(Out) << "\n";
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
  print(Ctx.Out_, Out);
  return ResultCode::Ok;
}

CommandResult putServers(const Context &Ctx, const std::string &File,
                         const SubmitOptions &Options) {
  BOOST_LEAF_AUTO(Servers, readServers(File));
  if (Servers.size() == 1)
    return change(Ctx, model::PutServer{Servers.front()}, Options);
  return change(Ctx, model::PutServers{Servers}, Options);
}

CommandResult leaveServer(const Context &Ctx, const std::string &Name,
                          SubmitOptions Options, bool Wait) {
  BOOST_LEAF_AUTO(Found, findServer(Ctx, Name));
  if (!Options.SeenVersion_)
    Options.SeenVersion_ = Found.Version_;
  const model::BackendServer &Server = Found.Server_;
  const control::WriteOutcome Outcome =
      submit(Ctx, model::MarkLeaving{Server.Name_, Server.Vm_}, Options);
  return finishChange(Ctx, Outcome, Wait, WaitTarget{Server.Name_, Server.Vm_});
}

CommandResult returnServer(const Context &Ctx, const std::string &Name,
                           SubmitOptions Options) {
  BOOST_LEAF_AUTO(Found, findServer(Ctx, Name));
  if (!Options.SeenVersion_)
    Options.SeenVersion_ = Found.Version_;
  return change(Ctx, model::ReturnServer{Name, Found.Server_.Vm_}, Options);
}

CommandResult removeServer(const Context &Ctx, const std::string &Name,
                           const SubmitOptions &Options) {
  return change(Ctx, model::RemoveServer{Name}, Options);
}

CommandResult initialize(const Context &Ctx, const std::string &File,
                         const SubmitOptions &Options) {
  BOOST_LEAF_AUTO(Wanted, readDeployment(File));
  BlockingStoreClient Store(Ctx.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, Ctx.Settings_));
  for (const model::ChangeAction &Action :
       changesNeeded(Wanted, Reader.State_)) {
    const ResultCode Code = change(Ctx, Action, Options);
    if (Code != ResultCode::Ok)
      return Code;
  }
  return ResultCode::Ok;
}

} // namespace cumingauge::ctl
