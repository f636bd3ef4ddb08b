#pragma once

#include "model/controlview.h"
#include "policy/balancer.h"
#include <memory>
#include <string>

/// Helpers that build views and calls for the tests of the decisions.
namespace cumingauge::policy::test {

/// Returns the time \p Ms milliseconds after the epoch.
inline model::TimePoint at(long long Ms) {
  return model::TimePoint(model::milliseconds(Ms));
}

/// Returns an idempotent route.
inline model::Route searchRoute() {
  return {"search", "/catalogue/search",     "catalogue",
          true,     model::Priority::Urgent, model::milliseconds(300),
          4096};
}

/// Returns a route that is not idempotent.
inline model::Route licenceRoute() {
  return {"licence", "/catalogue/licence",    "catalogue",
          false,     model::Priority::Urgent, model::milliseconds(300),
          4096};
}

inline model::Preset presetWith(model::PickMethod Pick) {
  model::Preset Out;
  Out.Name_ = "test";
  Out.Pick_ = Pick;
  return Out;
}

/// Returns a view with \p Count servers of the service "catalogue", named s0,
/// s1, ...
inline model::ControlView viewOf(unsigned Count, unsigned Slots,
                                 const model::Preset &Preset,
                                 unsigned FleetSize = 14) {
  auto Config = std::make_shared<model::ConfigState>();
  Config->Presets_["test"] = Preset;
  Config->PresetInForce_ = "test";
  for (unsigned I = 0; I < Count; ++I) {
    const std::string Name = "s" + std::to_string(I);
    Config->Servers_[Name] = {
        Name, "vm-" + Name, "catalogue", "milano-a", "127.0.0.1", 1000, Slots};
  }
  model::ControlView View;
  View.Config_ = Config;
  View.FleetSize_ = FleetSize;
  View.ProberCount_ = FleetSize;
  return View;
}

inline void apply(BalancerState &State, const model::ControlView &View,
                  model::TimePoint Now) {
  applyView(State, std::make_shared<model::ControlView>(View), Now);
}

/// Returns a call that arrives at \p Now.
inline CallFacts callAt(CallId Id, model::TimePoint Now,
                        const model::Route &Route = searchRoute(),
                        const std::string &Caller = "studio") {
  CallFacts Call;
  Call.Call_ = Id;
  Call.Caller_ = Caller;
  Call.Route_ = Route;
  Call.Arrived_ = Now;
  Call.Deadline_ = Now + Route.Deadline_;
  return Call;
}

} // namespace cumingauge::policy::test
