#pragma once

#include "adapters/controlruntime.h"
#include "traffic/trafficstats.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// Values shown on the metrics page of an entry process.
struct MetricsInput {
  traffic::TrafficStats Traffic_;
  ControlStats Control_;
  bool Ready_ = false;
  double ProbeBudgetPerSecond_ = 0; ///< of the whole fleet, over all services
  std::uint64_t ResidentBytes_ = 0;
  std::uint64_t EventsDropped_ = 0;
  std::uint64_t LogLinesDropped_ = 0;
};

/// Returns the metrics page in the Prometheus text format.
std::string renderMetrics(const MetricsInput &Input);

/// Returns the names of all metrics that the page can contain.
std::vector<std::string> metricNames();

/// Returns the resident memory of this process in bytes, read from
/// /proc/self/statm; 0 when that file cannot be read.
std::uint64_t residentBytes();

} // namespace cumingauge::adapters
