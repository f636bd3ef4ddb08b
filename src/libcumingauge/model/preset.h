#pragma once

#include "model/describe.h"
#include "model/problem.h"
#include "model/route.h"
#include "model/time.h"
#include "model/workspace.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::model {

/// How a backend server is chosen for a call. The first three are baselines
/// that ExpectedWait is compared with.
enum class PickMethod { Random, RoundRobin, LeastInFlightOfTwo, ExpectedWait };
BOOST_DESCRIBE_ENUM(PickMethod, Random, RoundRobin, LeastInFlightOfTwo,
                    ExpectedWait)

/// How the load of backend servers is measured: the budget for probes (which
/// are also the health checks), queries for load before a call is placed, and
/// how long reports count.
struct MeasuringBudget {
  double ProbesPerSecond_ = 10; ///< of the whole fleet, per service; 0: none
  milliseconds ProbeTimeout_{500};
  milliseconds ReportMaxAge_{500}; ///< older load reports are ignored
  /// Time constant of the decay of a load report's weight.
  milliseconds ReportRelaxation_{10};
  /// Time constant of the decay of the reported pace's weight.
  milliseconds PaceRelaxation_{150};
  /// Servers of the own zone that are queried for their load right before a
  /// call is placed; 0: none.
  unsigned LoadQueryCount_ = 0;
  unsigned RemoteZoneLoadQueryCount_ = 2; ///< the same for other zones
  milliseconds LoadQueryTimeout_{4};      ///< longest wait for the responses
  /// Servers with a more recent load report are not queried.
  milliseconds LoadQueryMinReportAge_{20};
};
BOOST_DESCRIBE_STRUCT(MeasuringBudget, (),
                      (ProbesPerSecond_, ProbeTimeout_, ReportMaxAge_,
                       ReportRelaxation_, PaceRelaxation_, LoadQueryCount_,
                       LoadQueryTimeout_, LoadQueryMinReportAge_))
CUMINGAUGE_OUTER_NAMES(MeasuringBudget, {"LoadQueryCount_", "lookWidth"},
                       {"LoadQueryTimeout_", "lookWaitMs"},
                       {"LoadQueryMinReportAge_", "lookFreshMs"})

/// Limits on retries, as a ratio to first attempts.
struct RetryBudget {
  double Ratio_ = 0.1; ///< retries per first attempt, 0 to 1
  unsigned MaxAttempts_ = 3;
  /// Retries that the whole fleet may send beyond the ratio, for a burst of
  /// failures.
  double Burst_ = 0; ///< 0: five for each traffic thread
};
BOOST_DESCRIBE_STRUCT(RetryBudget, (), (Ratio_, MaxAttempts_, Burst_))

/// Limits on hedges: second attempts sent while the first is still running.
/// Only calls of idempotent routes are hedged.
struct HedgeBudget {
  double Ratio_ = 0;              ///< hedges per first attempt, 0 to 1; 0: none
  double LatencyQuantile_ = 0.95; ///< quantile after which a hedge is sent
};
BOOST_DESCRIBE_STRUCT(HedgeBudget, (), (Ratio_, LatencyQuantile_))

/// Limits of the queue in which an entry process holds calls that wait for a
/// free slot of a backend server.
struct QueueLimits {
  unsigned MaxQueued_ = 256;
  double MaxCallerShare_ = 0.5; ///< share of the queue that one caller may use
  /// While no server has a free slot, a call is refused at once when it is
  /// expected to take longer than this multiple of its route's objective;
  /// 0: no call is refused for this reason.
  double ObjectiveSlack_ = 0;
};
BOOST_DESCRIBE_STRUCT(QueueLimits, (),
                      (MaxQueued_, MaxCallerShare_, ObjectiveSlack_))

/// Limits on connections and calls in flight to one backend server. They
/// apply to the whole fleet unless the comment at a member states another
/// scope.
struct ServerLimits {
  unsigned MaxConnections_ = 220;
  unsigned WarmConnections_ = 2; ///< kept open by each entry process
  double InFlightPerSlot_ = 2;   ///< calls in flight per slot
  milliseconds ConnectTimeout_{200};
};
BOOST_DESCRIBE_STRUCT(ServerLimits, (),
                      (MaxConnections_, WarmConnections_, InFlightPerSlot_,
                       ConnectTimeout_))

/// Limit on the calls that all processes together send to a cold server within
/// any second: the service's ColdCallsPerSecond_ times Overshoot_, plus Slack_.
struct ColdLimits {
  double Overshoot_ = 1;
  double Slack_ = 0;
};
BOOST_DESCRIBE_STRUCT(ColdLimits, (), (Overshoot_, Slack_))

/// When a failing backend server is ejected, and how it returns.
struct EjectionRule {
  double FailureRatio_ = 0.5; ///< failures per attempt at which it is ejected
  unsigned MinAttempts_ = 5;  ///< attempts needed before the ratio is evaluated
  double MaxEjectedShare_ = 0.3; ///< of one service's servers
  milliseconds BaseTime_{1000};  ///< first ejection; doubles each time
  milliseconds SlowStart_{3000}; ///< ramp-up of a cold or returning server
};
BOOST_DESCRIBE_STRUCT(EjectionRule, (),
                      (FailureRatio_, MinAttempts_, MaxEjectedShare_, BaseTime_,
                       SlowStart_))

/// Settings of a service that apply to all of its servers.
struct ServiceRule {
  std::string Service_;
  std::string HealthPath_; ///< path of probes; empty: the default path
  /// Calls a second that a cold server tolerates from the whole fleet; 0: as
  /// many as a warm one.
  double ColdCallsPerSecond_ = 0;
  /// Connections that one server accepts from the whole fleet; 0: as many as
  /// the preset allows. The smaller of the two holds.
  unsigned MaxConnections_ = 0;
};
BOOST_DESCRIBE_STRUCT(ServiceRule, (),
                      (Service_, HealthPath_, ColdCallsPerSecond_,
                       MaxConnections_))

/// Limits on callers; 0: the setting of the entry process applies.
struct CallerLimits {
  unsigned HeaderBytes_ = 0;
  milliseconds HeadTimeout_{0};
  milliseconds IdleTimeout_{0};
};
BOOST_DESCRIBE_STRUCT(CallerLimits, (),
                      (HeaderBytes_, HeadTimeout_, IdleTimeout_))

/// A complete set of policy settings and routes. Exactly one preset is in
/// force at a time.
struct Preset {
  std::string Name_;
  std::string Summary_;
  PickMethod Pick_ = PickMethod::ExpectedWait;
  microseconds ZoneCost_{500}; ///< added to the wait in another zone
  MeasuringBudget Measuring_;
  RetryBudget Retry_;
  HedgeBudget Hedge_;
  QueueLimits Queue_;
  ServerLimits Servers_;
  EjectionRule Ejection_;
  ColdLimits Cold_;
  std::vector<Route> Routes_;
  std::vector<ServiceRule> Services_;
  CallerLimits Callers_;
  /// Region of each availability zone, for routes with homes.
  std::map<std::string, std::string> Regions_;
  Workspaces Workspaces_; ///< whose keys are valid
  /// Calls need the key of a workspace, except on public routes.
  bool KeysRequired_ = false;
  /// Parts of the document from which the preset was made could not be read and
  /// are left out, so that it does not show what is wrong; absent: none.
  std::optional<bool> Incomplete_;
};
BOOST_DESCRIBE_STRUCT(Preset, (),
                      (Name_, Summary_, Pick_, ZoneCost_, Measuring_, Retry_,
                       Hedge_, Queue_, Servers_, Ejection_, Cold_, Routes_,
                       Services_, Callers_, Regions_, Workspaces_,
                       KeysRequired_, Incomplete_))

/// Returns the settings of a service, or null when the preset has none.
const ServiceRule *findServiceRule(const Preset &Value,
                                   const std::string &Service);

/// Returns how many connections to one server of a service the whole fleet may
/// keep.
unsigned maxConnections(const Preset &Value, const std::string &Service);

/// Checks the values of a preset against their ranges. Returns the problems
/// found; none when the preset is valid.
/// \param Path JSON path of the preset in its document.
Problems checkPreset(const Preset &Value, const std::string &Path);

} // namespace cumingauge::model
