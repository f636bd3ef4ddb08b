#pragma once

#include "model/preset.h"
#include <array>
#include <string>
#include <vector>

/// What a run of the virtual-time model is made of.
namespace cumingauge::bench {

/// Times in the model are in ns since its start.
using SimTime = long long;
constexpr SimTime Ms = 1000000;
constexpr SimTime Second = 1000 * Ms;

/// Calls of one route and their service time.
struct RouteLoad {
  model::Route Route_;
  double Share_ = 1;   ///< of the service's calls
  double MeanMs_ = 10; ///< service time, log-normal
};

struct ServiceLoad {
  std::string Name_;
  unsigned Servers_ = 13;
  std::vector<RouteLoad> Routes_;
};

/// One deployment of the brief.
struct Deployment {
  std::string Name_;
  unsigned Processes_ = 14;
  std::vector<std::string> Zones_;
  unsigned Slots_ = 3;
  double OneWayMs_ = 1;  ///< between availability zones
  double ProbeMs_ = 0.2; ///< of a slot's time
  std::vector<ServiceLoad> Services_;
};

/// What goes wrong or moves during a run.
enum class Disturbance {
  None,
  Moving,    ///< speeds and arrivals are drawn anew every 5 ms
  SlowOne,   ///< the first server of each service is 10 times slower
  FailFast,  ///< the first server of each service answers 500 at once
  FailThird, ///< a third of the servers answers 500 at once
  Noisy,     ///< half of the servers run at half speed
  RollingDrain,
  Lag50,     ///< reports are 50 ms old and say so
  Lag500,    ///< reports are 500 ms old and say so
  LagHidden, ///< reports are 50 ms old and say that they are new
  Stuck,     ///< reports of half of the servers stay as they were at the start
  Burst,     ///< 8 times as many archive pulls for 2 s
  Greedy,    ///< one caller sends 20 times its share
};
constexpr std::array<const char *, 13> DisturbanceNames = {
    "none",       "moving",        "slow-one", "fail-fast", "fail-third",
    "noisy-half", "rolling-drain", "lag-50ms", "lag-500ms", "lag-hidden",
    "stuck",      "burst",         "greedy"};

/// A way of balancing under test.
struct Arm {
  std::string Name_;
  model::Preset Preset_;
  bool ShareProbes_ = true; ///< a probe's result goes to all processes
};

struct Cell {
  Deployment Deployment_;
  Disturbance Disturbance_ = Disturbance::None;
  double Load_ = 0.8; ///< of the capacity of the undisturbed servers
  unsigned Seed_ = 1;
  double Seconds_ = 8;
};

/// Figures of one run; the first two seconds do not count.
struct Outcome {
  double P50Ms_ = 0, P99Ms_ = 0, P999Ms_ = 0; ///< urgent; failed = deadline
  double OthersP99Ms_ = 0; ///< urgent calls of callers at their share
  double PatientP99Ms_ = 0;
  double GoodputShare_ = 0; ///< answered in time over capacity
  double UrgentOk_ = 0;     ///< answered in time over urgent calls
  double NotRunShare_ = 0;
  double ExtraWork_ = 0; ///< retries and hedges sent per first attempt
  double RetryShare_ = 0;
  double ProbesPerSecond_ = 0;
  double MaxProbesInASecond_ = 0; ///< any second, fleet-wide, one service
  double RefusalMs_ = 0;          ///< longest from the deadline to the refusal
  unsigned Doubled_ = 0;          ///< calls that must not run twice and did
};

} // namespace cumingauge::bench
