#pragma once

#include "policysim/scenario.h"

/// The two modelled deployments, and the arms (presets) that are compared.
namespace cumingauge::bench {

inline RouteLoad routeLoad(const std::string &Service, const std::string &Name,
                           bool Idempotent, model::Priority Priority,
                           long DeadlineMs, double Share, double MeanMs) {
  return {{Name, "/" + Service + "/" + Name, Service, Idempotent, Priority,
           model::milliseconds(DeadlineMs), 4096},
          Share,
          MeanMs};
}

inline Deployment nordItalia() {
  using model::Priority;
  Deployment Out;
  Out.Name_ = "nord-italia";
  Out.Zones_ = {"milano-a", "torino-b", "bologna-c"};
  Out.Slots_ = 3;
  Out.OneWayMs_ = 1;
  Out.ProbeMs_ = 0.2;
  Out.Services_ = {
      {"catalogue",
       13,
       {routeLoad("catalogue", "search", true, Priority::Urgent, 300, 0.9, 10),
        routeLoad("catalogue", "licence", false, Priority::Urgent, 1000, 0.1,
                  10)}},
      {"rights",
       14,
       {routeLoad("rights", "splits", true, Priority::Normal, 300, 1, 10)}}};
  return Out;
}

inline Deployment gujarat() {
  using model::Priority;
  Deployment Out;
  Out.Name_ = "gujarat";
  Out.Zones_ = {"ahmedabad", "vadodara", "surat", "rajkot"};
  Out.Slots_ = 2;
  Out.OneWayMs_ = 0.5;
  Out.ProbeMs_ = 6;
  Out.Services_ = {
      {"booking",
       13,
       {routeLoad("booking", "availability", true, Priority::Urgent, 300, 0.9,
                  10),
        routeLoad("booking", "reservation", false, Priority::Urgent, 1000, 0.1,
                  10)}},
      {"results",
       14,
       {routeLoad("results", "report", true, Priority::Urgent, 500, 0.95, 10),
        routeLoad("results", "archive", true, Priority::Patient, 10000, 0.05,
                  100)}}};
  return Out;
}

/// Returns a preset with the method alone: no probes, in-flight limit, ejection
/// or hedges.
inline model::Preset baselinePreset(model::PickMethod Pick) {
  model::Preset Out;
  Out.Name_ = "arm";
  Out.Pick_ = Pick;
  Out.Measuring_.ProbesPerSecond_ = 0;
  Out.Servers_.InFlightPerSlot_ = 1e6;
  Out.Ejection_.MaxEjectedShare_ = 0;
  return Out;
}

/// Returns a preset with the default limits and ejection, but without probes
/// and hedges.
inline model::Preset guardedPreset(model::PickMethod Pick) {
  model::Preset Out;
  Out.Name_ = "arm";
  Out.Pick_ = Pick;
  Out.Measuring_.ProbesPerSecond_ = 0;
  return Out;
}

/// Returns a guarded preset with hedges.
inline model::Preset hedgedPreset(model::PickMethod Pick, double Ratio = 0.05,
                                  double Quantile = 0.95) {
  model::Preset Out = guardedPreset(Pick);
  Out.Hedge_.Ratio_ = Ratio;
  Out.Hedge_.LatencyQuantile_ = Quantile;
  return Out;
}

/// Returns a preset with everything on.
inline model::Preset probingPreset(double PerSecond) {
  model::Preset Out = hedgedPreset(model::PickMethod::ExpectedWait);
  Out.Measuring_.ProbesPerSecond_ = PerSecond;
  return Out;
}

/// Returns the arms: plain baselines, some of the parts, and everything
/// together.
/// Returns a guarded preset that limits the calls to cold servers.
inline model::Preset coldLimitPreset(model::PickMethod Pick) {
  constexpr double ColdCallsPerSecond = 30;
  model::Preset Out = guardedPreset(Pick);
  for (const char *Service : {"catalogue", "rights", "booking", "results"})
    Out.Services_.push_back({Service, "", ColdCallsPerSecond});
  Out.Cold_ = {1.5, 8};
  return Out;
}

inline std::vector<Arm> allArms() {
  using model::PickMethod;
  return {
      {"random", baselinePreset(PickMethod::Random)},
      {"round-robin", baselinePreset(PickMethod::RoundRobin)},
      {"least-of-two", baselinePreset(PickMethod::LeastInFlightOfTwo)},
      {"least-of-two+guards", hedgedPreset(PickMethod::LeastInFlightOfTwo)},
      {"expected-wait", guardedPreset(PickMethod::ExpectedWait)},
      {"expected-wait+cold-limit", coldLimitPreset(PickMethod::ExpectedWait)},
      {"expected-wait+hedge", hedgedPreset(PickMethod::ExpectedWait)},
      {"agency", probingPreset(50)},
      {"association", probingPreset(10)}};
}

} // namespace cumingauge::bench
