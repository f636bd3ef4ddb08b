#pragma once

#include "emulator/calloutcome.h"
#include "emulator/loadplan.h"
#include "emulator/verdict.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cumingauge::emulator {

/// One point of a percentile curve.
struct CurvePoint {
  double Quantile_ = 0;
  double Ms_ = 0;
};
BOOST_DESCRIBE_STRUCT(CurvePoint, (), (Quantile_, Ms_))

/// Latency of the calls with a whole answer, from their intended start.
struct LatencySummary {
  std::uint64_t Calls_ = 0;    ///< all calls, whatever their outcome
  std::uint64_t Answered_ = 0; ///< with a whole answer
  double P50Ms_ = 0;
  double P90Ms_ = 0;
  double P99Ms_ = 0;
  double P999Ms_ = 0;
  double MaxMs_ = 0;
};
BOOST_DESCRIBE_STRUCT(LatencySummary, (),
                      (Calls_, Answered_, P50Ms_, P90Ms_, P99Ms_, P999Ms_,
                       MaxMs_))

/// One route within one phase or over the whole run.
struct RouteResult {
  std::string Route_;
  std::string Phase_; ///< empty for the whole run
  LatencySummary Latency_;
  std::map<std::string, std::uint64_t> Outcomes_; ///< calls by outcome
  std::vector<CurvePoint> Curve_;                 ///< whole run only
};
BOOST_DESCRIBE_STRUCT(RouteResult, (),
                      (Route_, Phase_, Latency_, Outcomes_, Curve_))

/// Calls that were to start within one stretch of time.
struct TimelineBucket {
  std::uint64_t AtMs_ = 0; ///< start of the stretch, since the run's start
  std::uint64_t Calls_ = 0;
  std::uint64_t Answered_ = 0;
  double P50Ms_ = 0;
  double P99Ms_ = 0;
  double MaxMs_ = 0;
};
BOOST_DESCRIBE_STRUCT(TimelineBucket, (),
                      (AtMs_, Calls_, Answered_, P50Ms_, P99Ms_, MaxMs_))

/// What one backend server ran of this load.
struct ServerResult {
  std::string Server_;
  std::uint64_t Ran_ = 0;
  std::int64_t LastStartMs_ = 0; ///< since the run's start
  std::uint64_t Probes_ = 0;     ///< during the run
  std::vector<std::uint64_t> StartsByBucket_;
};
BOOST_DESCRIBE_STRUCT(ServerResult, (),
                      (Server_, Ran_, LastStartMs_, Probes_, StartsByBucket_))

/// One address that callers used.
struct EntryResult {
  std::string Address_;
  std::uint64_t Calls_ = 0;
  std::uint64_t LostOnTheWay_ = 0; ///< see isLostOnTheWay
};
BOOST_DESCRIBE_STRUCT(EntryResult, (), (Address_, Calls_, LostOnTheWay_))

/// A time worth a line in the plot.
struct TimeMark {
  std::uint64_t AtMs_ = 0;
  std::string Label_;
};
BOOST_DESCRIBE_STRUCT(TimeMark, (), (AtMs_, Label_))

/// The result of one experiment.
struct LoadResult {
  std::uint64_t Seed_ = 0;
  std::uint64_t StartedAtMs_ = 0; ///< wall clock, ms since 1970
  std::uint64_t DurationMs_ = 0;
  std::uint64_t BucketMs_ = 0;
  double AnsweredPerSecond_ = 0;
  double ProbesPerSecond_ = 0;
  bool JournalsComplete_ = true; ///< else the verdict misses runs
  std::uint64_t StrayBytes_ = 0; ///< idle connections that got data
  double LateStartsP99Ms_ = 0;   ///< how late the tool itself was
  Verdict Verdict_;
  LatencySummary Overall_;
  std::map<std::string, std::uint64_t> Outcomes_;
  std::vector<RouteResult> Routes_; ///< whole run, then by phase
  std::vector<TimelineBucket> Timeline_;
  std::vector<ServerResult> Servers_;
  std::vector<EntryResult> Entries_;
  std::vector<TimeMark> Marks_;
};
BOOST_DESCRIBE_STRUCT(LoadResult, (),
                      (Seed_, StartedAtMs_, DurationMs_, BucketMs_,
                       AnsweredPerSecond_, ProbesPerSecond_, JournalsComplete_,
                       StrayBytes_, LateStartsP99Ms_, Verdict_, Overall_,
                       Outcomes_, Routes_, Timeline_, Servers_, Entries_,
                       Marks_))

/// Value at a quantile of sorted figures (nearest rank); 0 when empty.
double quantileOf(const std::vector<double> &Sorted, double Quantile);

/// Name of an outcome: the result code where there is one.
std::string outcomeName(const CallOutcome &Outcome);

/// Latency and outcome parts of the result; what needs the journals is
/// added by whoever has the journals.
LoadResult summarize(const LoadPlan &Plan,
                     const std::vector<CallOutcome> &Outcomes);

} // namespace cumingauge::emulator
