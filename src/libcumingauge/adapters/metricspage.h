#pragma once

#include "adapters/controlruntime.h"
#include "traffic/trafficstats.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// All that the metrics page of an entry process is made from.
struct MetricsInput {
  traffic::TrafficStats Traffic_;
  ControlFigures Control_;
  bool Ready_ = false;
  double ProbeBudgetPerSecond_ = 0; ///< fleet-wide, over all services
  std::uint64_t ResidentBytes_ = 0;
  std::uint64_t EventsDropped_ = 0;
  std::uint64_t LogLinesDropped_ = 0;
};

/// The page in the Prometheus text format.
std::string renderMetrics(const MetricsInput &Input);

/// Names of all metrics that the page can hold.
std::vector<std::string> metricNames();

/// Resident memory of this process in bytes, from /proc/self/statm; 0 when it
/// cannot be read.
std::uint64_t residentBytes();

} // namespace cumingauge::adapters
