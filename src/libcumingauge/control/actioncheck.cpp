#include "control/fold.h"
#include <algorithm>
#include <set>

namespace cumingauge::control {

namespace {

using model::ConfigState;
using model::Problems;
using model::ResultCode;

void require(bool Holds, const std::string &Path, const std::string &Message,
             Problems &Found) {
  if (!Holds)
    Found.push_back({Path, Message});
}

void checkServer(const model::BackendServer &Server, const std::string &Path,
                 Problems &Found) {
  const char *Empty = "must not be empty";
  require(!Server.Name_.empty(), Path + "/name", Empty, Found);
  require(!Server.Vm_.empty(), Path + "/vm", Empty, Found);
  require(!Server.Service_.empty(), Path + "/service", Empty, Found);
  require(!Server.Zone_.empty(), Path + "/zone", Empty, Found);
  require(!Server.Host_.empty(), Path + "/host", Empty, Found);
  require(Server.Port_ > 0, Path + "/port", "must be between 1 and 65535",
          Found);
  require(Server.Slots_ > 0, Path + "/slots", "must be at least 1", Found);
}

/// Returns the server if it runs on the VM that the operator named; otherwise
/// reports a problem and returns null.
const model::BackendServer *findOnVm(const std::string &Name,
                                     const std::string &Vm,
                                     const ConfigState &State,
                                     Problems &Found) {
  const auto Entry = State.Servers_.find(Name);
  if (Entry == State.Servers_.end()) {
    Found.push_back({"/name", "no backend server is called '" + Name + "'"});
    return nullptr;
  }
  if (Entry->second.Vm_ != Vm) {
    Found.push_back({"/vm", "the server is on VM '" + Entry->second.Vm_ + "'"});
    return nullptr;
  }
  return &Entry->second;
}

bool isLastOfService(const model::BackendServer &Server,
                     const ConfigState &State) {
  return std::none_of(State.Servers_.begin(), State.Servers_.end(),
                      [&](const auto &Entry) {
                        return Entry.second.Service_ == Server.Service_ &&
                               Entry.first != Server.Name_ &&
                               !isMarkedLeaving(State, Entry.second);
                      });
}

/// Checks an action of any kind. Adds problems to Found_, and reasons why
/// the operator must confirm the action to ToConfirm_.
struct ActionCheck {
  const ConfigState &State_;
  Problems &Found_;
  Problems &ToConfirm_;

  void operator()(const model::PutPreset &Action) const {
    Found_ = checkPreset(Action.Preset_, "/preset");
  }

  void operator()(const model::ChoosePreset &Action) const {
    require(State_.Presets_.count(Action.Name_) > 0, "/name",
            "no preset is called '" + Action.Name_ + "'", Found_);
  }

  void operator()(const model::PutServer &Action) const {
    checkServer(Action.Server_, "/server", Found_);
  }

  void operator()(const model::PutServers &Action) const {
    require(!Action.Servers_.empty(), "/servers", "must not be empty", Found_);
    std::set<std::string> Names;
    for (std::size_t I = 0; I < Action.Servers_.size(); ++I) {
      const std::string Path = "/servers/" + std::to_string(I);
      checkServer(Action.Servers_[I], Path, Found_);
      require(Names.insert(Action.Servers_[I].Name_).second, Path + "/name",
              "is used by an earlier server in the list", Found_);
    }
  }

  void operator()(const model::RemoveServer &Action) const {
    const auto Entry = State_.Servers_.find(Action.Name_);
    if (Entry == State_.Servers_.end())
      Found_.push_back(
          {"/name", "no backend server is called '" + Action.Name_ + "'"});
    else if (!isMarkedLeaving(State_, Entry->second))
      ToConfirm_.push_back({"/name", "the server is not marked as leaving"});
  }

  void operator()(const model::MarkLeaving &Action) const {
    const model::BackendServer *Server =
        findOnVm(Action.Name_, Action.Vm_, State_, Found_);
    if (Server && !isMarkedLeaving(State_, *Server) &&
        isLastOfService(*Server, State_))
      ToConfirm_.push_back({"/name", "last server of service '" +
                                         Server->Service_ +
                                         "' that is not leaving"});
  }

  void operator()(const model::EvacuateZone &Action) const {
    const bool IsKnown = std::any_of(
        State_.Servers_.begin(), State_.Servers_.end(),
        [&](const auto &Entry) { return Entry.second.Zone_ == Action.Zone_; });
    require(IsKnown, "/zone",
            "no backend server is in zone '" + Action.Zone_ + "'", Found_);
    for (const std::string &Service : servicesOnlyIn(Action.Zone_))
      ToConfirm_.push_back(
          {"/zone", "service '" + Service + "' has no server in another zone"});
  }

  void operator()(const model::ReturnZone &Action) const {
    require(State_.EvacuatedZones_.count(Action.Zone_) > 0, "/zone",
            "the zone is not evacuated", Found_);
  }

  /// Returns the services that have servers in use in this zone only.
  std::set<std::string> servicesOnlyIn(const std::string &Zone) const {
    std::set<std::string> Out;
    std::set<std::string> Elsewhere;
    for (const auto &Entry : State_.Servers_) {
      const model::BackendServer &Server = Entry.second;
      if (Server.Zone_ == Zone)
        Out.insert(Server.Service_);
      else if (!isEvacuated(State_, Server) && !isMarkedLeaving(State_, Server))
        Elsewhere.insert(Server.Service_);
    }
    for (const std::string &Service : Elsewhere)
      Out.erase(Service);
    return Out;
  }

  void operator()(const model::ReturnServer &Action) const {
    const model::BackendServer *Server =
        findOnVm(Action.Name_, Action.Vm_, State_, Found_);
    require(!Server || isMarkedLeaving(State_, *Server), "/name",
            "the server is not marked as leaving", Found_);
  }
};

} // namespace

boost::leaf::result<void> checkAction(const model::ChangeAction &Action,
                                      const ConfigState &State,
                                      bool Confirmed) {
  Problems Found;
  Problems ToConfirm;
  std::visit(ActionCheck{State, Found, ToConfirm}, Action);
  if (!Found.empty())
    return boost::leaf::new_error(
        ChangeFault{ResultCode::ChangeRefused, std::move(Found)});
  if (!ToConfirm.empty() && !Confirmed)
    return boost::leaf::new_error(
        ChangeFault{ResultCode::ConfirmationNeeded, std::move(ToConfirm)});
  return {};
}

} // namespace cumingauge::control
