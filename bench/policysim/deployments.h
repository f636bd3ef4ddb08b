#pragma once

#include "policysim/scenario.h"

/// The two deployments of the brief and the arms under test.
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

inline model::Preset plain(model::PickMethod Pick) {
  model::Preset Out;
  Out.Name_ = "arm";
  Out.Pick_ = Pick;
  Out.Measuring_.ProbesPerSecond_ = 0;
  Out.Servers_.InFlightPerSlot_ = 1e6;
  Out.Ejection_.MaxEjectedShare_ = 0;
  return Out;
}

inline model::Preset guarded(model::PickMethod Pick) {
  model::Preset Out;
  Out.Name_ = "arm";
  Out.Pick_ = Pick;
  Out.Measuring_.ProbesPerSecond_ = 0;
  return Out;
}

inline model::Preset hedged(model::PickMethod Pick, double Ratio = 0.05,
                            double Quantile = 0.95) {
  model::Preset Out = guarded(Pick);
  Out.Hedge_.Ratio_ = Ratio;
  Out.Hedge_.LatencyQuantile_ = Quantile;
  return Out;
}

inline model::Preset probing(double PerSecond) {
  model::Preset Out = hedged(model::PickMethod::ExpectedWait);
  Out.Measuring_.ProbesPerSecond_ = PerSecond;
  return Out;
}

/// Plain baselines, the parts alone, and all together.
inline std::vector<Arm> allArms() {
  using model::PickMethod;
  return {{"random", plain(PickMethod::Random)},
          {"round-robin", plain(PickMethod::RoundRobin)},
          {"least-of-two", plain(PickMethod::LeastInFlightOfTwo)},
          {"least-of-two+guards", hedged(PickMethod::LeastInFlightOfTwo)},
          {"expected-wait", guarded(PickMethod::ExpectedWait)},
          {"expected-wait+hedge", hedged(PickMethod::ExpectedWait)},
          {"agency", probing(50)},
          {"association", probing(10)}};
}

} // namespace cumingauge::bench
