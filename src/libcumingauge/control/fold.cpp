#include "control/fold.h"
#include "control/storecodec.h"
#include <xxhash.h>

namespace cumingauge::control {

namespace {

using model::ConfigState;

/// Applies an action of any kind to a state. The action has been checked.
struct ActionApplier {
  ConfigState &State_;

  void operator()(const model::PutPreset &Action) const {
    State_.Presets_[Action.Preset_.Name_] = Action.Preset_;
  }

  void operator()(const model::ChoosePreset &Action) const {
    State_.PresetInForce_ = Action.Name_;
  }

  void operator()(const model::PutServer &Action) const { put(Action.Server_); }

  void operator()(const model::PutServers &Action) const {
    for (const model::BackendServer &Server : Action.Servers_)
      put(Server);
  }

  void operator()(const model::RemoveServer &Action) const {
    State_.Servers_.erase(Action.Name_);
    State_.LeavingVms_.erase(Action.Name_);
  }

  void operator()(const model::MarkLeaving &Action) const {
    State_.LeavingVms_[Action.Name_] = Action.Vm_;
  }

  void operator()(const model::ReturnServer &Action) const {
    State_.LeavingVms_.erase(Action.Name_);
  }

  void operator()(const model::EvacuateZone &Action) const {
    State_.EvacuatedZones_.insert(Action.Zone_);
  }

  void operator()(const model::ReturnZone &Action) const {
    State_.EvacuatedZones_.erase(Action.Zone_);
  }

  /// A server that has moved to another VM is no longer marked as leaving.
  void put(const model::BackendServer &Server) const {
    State_.Servers_[Server.Name_] = Server;
    const auto Mark = State_.LeavingVms_.find(Server.Name_);
    if (Mark != State_.LeavingVms_.end() && Mark->second != Server.Vm_)
      State_.LeavingVms_.erase(Mark);
  }
};

void rememberId(std::vector<std::string> &Ids, const std::string &Id) {
  if (Ids.size() >= RecentChangeLimit)
    Ids.erase(Ids.begin());
  Ids.push_back(Id);
}

} // namespace

std::uint64_t digestAfter(const model::Change &Entry) {
  const std::string Bytes = encodeChange(Entry);
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Entry.BasisDigest_);
}

boost::leaf::result<ConfigState> apply(const model::Change &Entry,
                                       ConfigState State) {
  if (Entry.Version_ != State.Version_ + 1)
    return boost::leaf::new_error(ChangeFault{
        model::ResultCode::ChangeConflict,
        {{"/version", "must be the version that follows the state"}}});
  if (Entry.BasisDigest_ != State.LogDigest_)
    return boost::leaf::new_error(ChangeFault{
        model::ResultCode::ChangeConflict,
        {{"/basisDigest", "must be the digest of the log before the entry"}}});
  if (checkAction(Entry.Action_, State, /*Confirmed=*/true))
    std::visit(ActionApplier{State}, Entry.Action_);
  State.Version_ = Entry.Version_;
  State.LogDigest_ = digestAfter(Entry);
  rememberId(State.RecentChangeIds_, Entry.Id_);
  return State;
}

} // namespace cumingauge::control
