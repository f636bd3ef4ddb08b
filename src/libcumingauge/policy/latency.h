#pragma once

#include "model/time.h"
#include <string>

namespace cumingauge::policy {

/// Latency of the answers of one route: mean and one tracked quantile.
struct RouteLatency {
  std::string Route_;
  double MeanNs_ = 0;
  double QuantileNs_ = 0;
  unsigned Samples_ = 0; ///< saturates
};

/// Notes the latency of a whole answer.
/// \param Quantile the one to track, 0 to 1.
void noteLatency(RouteLatency &Record, model::Duration Latency,
                 double Quantile);

/// True when enough answers were seen to act on the quantile.
bool isSettled(const RouteLatency &Record);

/// How many times slower than usual for their routes a server's answers are.
struct Slowness {
  double Ratio_ = 1;
  model::TimePoint At_;
};

/// Notes an answer that took \p Ratio times the usual.
void noteRatio(Slowness &Record, double Ratio, model::TimePoint Now);

/// A call that was given up after \p Ratio times the usual: the answer would
/// have taken at least as long.
void noteRatioAtLeast(Slowness &Record, double Ratio, model::TimePoint Now);

/// The ratio, at least 1. It fades with time so that a server that was slow
/// is tried again.
double currentSlowness(const Slowness &Record, model::TimePoint Now);

} // namespace cumingauge::policy
