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

/// Latency of the calls with a complete answer, from their intended start.
struct LatencySummary {
  std::uint64_t Calls_ = 0;    ///< all calls, whatever their outcome
  std::uint64_t Answered_ = 0; ///< calls with a complete answer
  double P50Ms_ = 0;
  double P90Ms_ = 0;
  double P99Ms_ = 0;
  double P999Ms_ = 0;
  double MaxMs_ = 0;
};
BOOST_DESCRIBE_STRUCT(LatencySummary, (),
                      (Calls_, Answered_, P50Ms_, P90Ms_, P99Ms_, P999Ms_,
                       MaxMs_))

/// Result of one route, within one phase or over the whole run.
struct RouteResult {
  std::string Route_;
  std::string Phase_; ///< empty for the whole run
  LatencySummary Latency_;
  std::map<std::string, std::uint64_t> Outcomes_; ///< calls by outcomeName()
  std::vector<CurvePoint> Curve_;                 ///< empty for a phase
};
BOOST_DESCRIBE_STRUCT(RouteResult, (),
                      (Route_, Phase_, Latency_, Outcomes_, Curve_))

/// Calls whose intended start lies within one bucket of the timeline.
struct TimelineBucket {
  std::uint64_t AtMs_ = 0; ///< start of the bucket, since the run's start
  std::uint64_t Calls_ = 0;
  std::uint64_t Answered_ = 0;
  double P50Ms_ = 0;
  double P99Ms_ = 0;
  double MaxMs_ = 0;
};
BOOST_DESCRIBE_STRUCT(TimelineBucket, (),
                      (AtMs_, Calls_, Answered_, P50Ms_, P99Ms_, MaxMs_))

/// Calls and probes of this run at one backend server.
struct ServerResult {
  std::string Server_;
  std::uint64_t Ran_ = 0;
  std::int64_t LastStartMs_ = 0; ///< since the run's start
  std::uint64_t Probes_ = 0;     ///< during the run
  std::vector<std::uint64_t> StartsByBucket_;
};
BOOST_DESCRIBE_STRUCT(ServerResult, (),
                      (Server_, Ran_, LastStartMs_, Probes_, StartsByBucket_))

/// Calls of this run that were sent to one entry process.
struct EntryResult {
  std::string Address_;
  std::uint64_t Calls_ = 0;
  std::uint64_t LostOnTheWay_ = 0; ///< see isLostOnTheWay
};
BOOST_DESCRIBE_STRUCT(EntryResult, (), (Address_, Calls_, LostOnTheWay_))

/// A time that the plot marks with a labelled line.
struct TimeMark {
  std::uint64_t AtMs_ = 0;
  std::string Label_;
};
BOOST_DESCRIBE_STRUCT(TimeMark, (), (AtMs_, Label_))

/// Result of one run of the load tool.
struct LoadResult {
  std::uint64_t Seed_ = 0;
  std::uint64_t StartedAtMs_ = 0; ///< wall clock, ms since 1970
  std::uint64_t DurationMs_ = 0;
  std::uint64_t BucketMs_ = 0;
  double AnsweredPerSecond_ = 0;
  double ProbesPerSecond_ = 0;
  bool JournalsComplete_ = true; ///< false when the verdict may miss runs
  std::uint64_t StrayBytes_ = 0; ///< bytes received on idle connections
  double LateStartsP99Ms_ = 0;   ///< delay of the tool behind its schedule
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

/// Returns the value at a quantile of sorted values (nearest rank); 0 when
/// there are none.
double quantileOf(const std::vector<double> &Sorted, double Quantile);

/// Returns the name of an outcome: number and name of the result code, or the
/// name of the kind when there is no result code.
std::string outcomeName(const CallOutcome &Outcome);

/// Computes the parts of the result that need no journals: latencies, outcomes,
/// timeline, entries and marks. runExperiment adds the verdict and the servers.
LoadResult summarize(const LoadPlan &Plan,
                     const std::vector<CallOutcome> &Outcomes);

} // namespace cumingauge::emulator
