#include "model/configstate.h"

namespace cumingauge::model {

const Preset *presetInForce(const ConfigState &State) {
  const auto Found = State.Presets_.find(State.PresetInForce_);
  return Found == State.Presets_.end() ? nullptr : &Found->second;
}

bool isEvacuated(const ConfigState &State, const BackendServer &Server) {
  return State.EvacuatedZones_.count(Server.Zone_) > 0;
}

bool isMarkedLeaving(const ConfigState &State, const BackendServer &Server) {
  const auto Found = State.LeavingVms_.find(Server.Name_);
  return Found != State.LeavingVms_.end() && Found->second == Server.Vm_;
}

} // namespace cumingauge::model
