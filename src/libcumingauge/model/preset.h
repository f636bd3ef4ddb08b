#pragma once

#include "model/describe.h"
#include "model/problem.h"
#include "model/route.h"
#include "model/time.h"
#include <string>
#include <vector>

namespace cumingauge::model {

/// How a backend server is chosen. The first three are baselines.
enum class PickMethod { Random, RoundRobin, LeastInFlightOfTwo, ExpectedWait };
BOOST_DESCRIBE_ENUM(PickMethod, Random, RoundRobin, LeastInFlightOfTwo,
                    ExpectedWait)

/// Probes and health checks that the whole fleet may send to one service.
struct MeasuringBudget {
  double ProbesPerSecond_ = 10; ///< fleet-wide, per service; 0 sends none
  milliseconds ProbeTimeout_{500};
  milliseconds ReportMaxAge_{500}; ///< an older load report is ignored
  /// Time in which a report loses most of its weight.
  milliseconds ReportRelaxation_{10};
  /// Time in which the pace that a report tells loses most of its weight.
  milliseconds PaceRelaxation_{150};
  /// Servers asked for their load right before a call is placed; 0: none.
  unsigned LookWidth_ = 0;
  unsigned FarLookWidth_ = 2;  ///< the same in other zones
  milliseconds LookWait_{4};   ///< longest wait for their answers
  milliseconds LookFresh_{20}; ///< a younger report needs no look
};
BOOST_DESCRIBE_STRUCT(MeasuringBudget, (),
                      (ProbesPerSecond_, ProbeTimeout_, ReportMaxAge_,
                       ReportRelaxation_, PaceRelaxation_, LookWidth_,
                       LookWait_, LookFresh_))

/// Retries as a share of first attempts.
struct RetryBudget {
  double Ratio_ = 0.1; ///< retries per first attempt, 0 to 1
  unsigned MaxAttempts_ = 3;
  /// Retries of the whole fleet beyond the ratio, for a burst of failures.
  double Burst_ = 0; ///< 0: five for each traffic thread
};
BOOST_DESCRIBE_STRUCT(RetryBudget, (), (Ratio_, MaxAttempts_, Burst_))

/// Second attempts sent while the first is still running; idempotent routes
/// only.
struct HedgeBudget {
  double Ratio_ = 0; ///< hedges per first attempt, 0 to 1; 0 sends none
  double LatencyQuantile_ = 0.95; ///< wait for this quantile before hedging
};
BOOST_DESCRIBE_STRUCT(HedgeBudget, (), (Ratio_, LatencyQuantile_))

/// The queue of one entry process.
struct QueueLimits {
  unsigned MaxQueued_ = 256;
  double MaxCallerShare_ = 0.5; ///< share of the queue one caller may fill
  /// While no server has a free slot, a call that is expected to take longer
  /// than this many objectives of its route is refused at once; 0: none is.
  double ObjectiveSlack_ = 0;
};
BOOST_DESCRIBE_STRUCT(QueueLimits, (),
                      (MaxQueued_, MaxCallerShare_, ObjectiveSlack_))

/// Connections and calls in flight to one backend server over the whole fleet.
struct ServerLimits {
  unsigned MaxConnections_ = 220;
  unsigned WarmConnections_ = 2; ///< kept open by each entry process
  double InFlightPerSlot_ = 2;   ///< fleet-wide calls in flight per slot
  milliseconds ConnectTimeout_{200};
};
BOOST_DESCRIBE_STRUCT(ServerLimits, (),
                      (MaxConnections_, WarmConnections_, InFlightPerSlot_,
                       ConnectTimeout_))

/// When a backend server is left out for its failures, and its way back.
struct EjectionRule {
  double FailureRatio_ = 0.5;    ///< failures over attempts that eject
  unsigned MinAttempts_ = 5;     ///< attempts before the ratio counts
  double MaxEjectedShare_ = 0.3; ///< ceiling over one service's servers
  milliseconds BaseTime_{1000};  ///< first ejection; doubles on repetition
  milliseconds SlowStart_{3000}; ///< ramp of a cold or returning server
};
BOOST_DESCRIBE_STRUCT(EjectionRule, (),
                      (FailureRatio_, MinAttempts_, MaxEjectedShare_, BaseTime_,
                       SlowStart_))

/// What is told of a service besides its servers.
struct ServiceRule {
  std::string Service_;
  std::string HealthPath_; ///< for probes; empty: the usual one
};
BOOST_DESCRIBE_STRUCT(ServiceRule, (), (Service_, HealthPath_))

/// Limits on callers; 0 leaves the process's own setting in force.
struct CallerLimits {
  unsigned HeaderBytes_ = 0;
  milliseconds HeadTimeout_{0};
  milliseconds IdleTimeout_{0};
};
BOOST_DESCRIBE_STRUCT(CallerLimits, (),
                      (HeaderBytes_, HeadTimeout_, IdleTimeout_))

/// A complete set of policy values and routes. Exactly one is in force.
struct Preset {
  std::string Name_;
  std::string Summary_;
  PickMethod Pick_ = PickMethod::ExpectedWait;
  microseconds ZoneCost_{500}; ///< added to the wait of a server elsewhere
  MeasuringBudget Measuring_;
  RetryBudget Retry_;
  HedgeBudget Hedge_;
  QueueLimits Queue_;
  ServerLimits Servers_;
  EjectionRule Ejection_;
  std::vector<Route> Routes_;
  std::vector<ServiceRule> Services_;
  CallerLimits Callers_;
};
BOOST_DESCRIBE_STRUCT(Preset, (),
                      (Name_, Summary_, Pick_, ZoneCost_, Measuring_, Retry_,
                       Hedge_, Queue_, Servers_, Ejection_, Routes_, Services_,
                       Callers_))

/// Range checks on a preset; empty when it is valid.
/// \param Path where the preset stands in its document.
Problems checkPreset(const Preset &Value, const std::string &Path);

} // namespace cumingauge::model
