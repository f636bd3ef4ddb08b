#pragma once

#include "model/time.h"
#include <string>

namespace cumingauge::policy {

/// Latency of the responses of one route: the mean (EWMA) and one tracked
/// quantile.
struct RouteLatency {
  std::string Route_;
  double MeanNs_ = 0;
  double QuantileNs_ = 0;
  unsigned Samples_ = 0; ///< stops counting when there are enough
};

/// Records the latency of a complete response.
/// \param Quantile the quantile to track, 0 to 1.
void recordLatency(RouteLatency &Record, model::Duration Latency,
                   double Quantile);

/// Returns whether enough responses were recorded to act on the quantile.
bool hasEnoughSamples(const RouteLatency &Record);

/// How many times slower than the mean of their routes a server's responses
/// are.
struct Slowness {
  double Ratio_ = 1;
  model::TimePoint At_;
};

/// Records a response that took \p Ratio times its route's mean latency.
void recordLatencyRatio(Slowness &Record, double Ratio, model::TimePoint Now);

/// Records a call that was given up after \p Ratio times its route's mean
/// latency: the response would have taken at least as long.
void recordMinLatencyRatio(Slowness &Record, double Ratio,
                           model::TimePoint Now);

/// Returns the ratio, at least 1. It decays with time so that calls are sent to
/// a slow server again.
double currentSlowness(const Slowness &Record, model::TimePoint Now);

} // namespace cumingauge::policy
