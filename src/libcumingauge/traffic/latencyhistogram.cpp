#include "traffic/latencyhistogram.h"
#include <algorithm>

namespace cumingauge::traffic {

void record(LatencyHistogram &Histogram, model::Duration Latency) {
  const auto Bound = std::lower_bound(LatencyBucketBounds.begin(),
                                      LatencyBucketBounds.end(), Latency);
  ++Histogram.Buckets_[static_cast<std::size_t>(Bound -
                                                LatencyBucketBounds.begin())];
  Histogram.SumMicros_ += static_cast<std::uint64_t>(
      std::chrono::duration_cast<model::microseconds>(Latency).count());
}

void add(LatencyHistogram &Sum, const LatencyHistogram &Part) {
  for (std::size_t I = 0; I < Part.Buckets_.size(); ++I)
    Sum.Buckets_[I] += Part.Buckets_[I];
  Sum.SumMicros_ += Part.SumMicros_;
}

} // namespace cumingauge::traffic
