#pragma once

#include "model/preset.h"
#include <array>
#include <string>
#include <vector>

/// The inputs and results of one run of the virtual-time model.
namespace cumingauge::bench {

/// Time in the model, in ns since its start.
using SimTime = long long;
constexpr SimTime Ms = 1000000;
constexpr SimTime Second = 1000 * Ms;

/// A route's share of the calls and its service time.
struct RouteLoad {
  model::Route Route_;
  double Share_ = 1;   ///< fraction of the service's calls
  double MeanMs_ = 10; ///< mean service time; log-normal
};

struct ServiceLoad {
  std::string Name_;
  unsigned Servers_ = 13;
  std::vector<RouteLoad> Routes_;
};

/// A modelled deployment.
struct Deployment {
  std::string Name_;
  unsigned Processes_ = 14;
  std::vector<std::string> Zones_;
  unsigned Slots_ = 3;
  double OneWayMs_ = 1;  ///< one-way delay between availability zones
  double ProbeMs_ = 0.2; ///< time that a probe takes a slot for
  std::vector<ServiceLoad> Services_;
};

/// What changes or fails during a run.
enum class Disturbance {
  None,
  Moving,    ///< server speeds and arrival weights change every 5 ms
  SlowOne,   ///< the first server of each service is 10 times slower
  FailFast,  ///< the first server of each service answers 500 at once
  FailThird, ///< a third of the servers answers 500 at once
  Noisy,     ///< half of the servers run at half speed
  RollingDrain,
  Lag50,     ///< reports are 50 ms old and say so
  Lag500,    ///< reports are 500 ms old and say so
  LagHidden, ///< reports are 50 ms old and say that they are new
  Stuck,     ///< half of the servers report their load at the start for ever
  Burst,     ///< 8 times as many archive pulls for 2 s
  Greedy,    ///< one caller sends 20 times its share
  /// The first zone is evacuated for 2 s; its servers are cold when it returns.
  Evacuation,
  /// The servers of the first zone become cold together, and none is evacuated.
  ColdZone,
};
constexpr std::array<const char *, 15> DisturbanceNames = {
    "none",       "moving",        "slow-one", "fail-fast",  "fail-third",
    "noisy-half", "rolling-drain", "lag-50ms", "lag-500ms",  "lag-hidden",
    "stuck",      "burst",         "greedy",   "evacuation", "cold-zone"};

/// One arm of a comparison: a preset under test.
struct Arm {
  std::string Name_;
  model::Preset Preset_;
  bool ShareProbes_ = true; ///< a probe's report is passed on to all processes
};

/// The conditions of one run, apart from the arm.
struct Cell {
  Deployment Deployment_;
  Disturbance Disturbance_ = Disturbance::None;
  /// Offered load, relative to the capacity of the undisturbed servers.
  double Load_ = 0.8;
  unsigned Seed_ = 1;
  double Seconds_ = 8;
};

/// Results of one run. Calls that arrive in the first two seconds do not count.
struct Outcome {
  /// Urgent calls; a failed call counts with its deadline.
  double P50Ms_ = 0, P99Ms_ = 0, P999Ms_ = 0;
  double OthersP99Ms_ = 0; ///< urgent calls of all callers but the greedy one
  double PatientP99Ms_ = 0;
  double GoodputShare_ = 0; ///< calls answered in time, relative to capacity
  double UrgentOk_ = 0;     ///< fraction of urgent calls answered in time
  double NotRunShare_ = 0;
  double ExtraWork_ = 0; ///< retries and hedges per first attempt
  double RetryShare_ = 0;
  double ProbesPerSecond_ = 0;
  double MaxProbesInASecond_ = 0; ///< in any second, fleet-wide, one service
  double RefusalMs_ = 0;     ///< longest time from a deadline to the refusal
  unsigned RanTwice_ = 0;    ///< calls of non-idempotent routes that ran twice
  unsigned ColdCrashes_ = 0; ///< cold servers that got too many calls
  unsigned MostColdCallsInASecond_ = 0; ///< at one cold server
};

} // namespace cumingauge::bench
