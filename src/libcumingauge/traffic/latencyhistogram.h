#pragma once

#include "model/time.h"
#include <array>
#include <cstdint>

namespace cumingauge::traffic {

/// Upper bounds of the latency histogram's buckets. One more bucket counts the
/// calls above the last bound.
constexpr std::array<model::microseconds, 18> LatencyBucketBounds = {
    model::microseconds(100),     model::microseconds(200),
    model::microseconds(320),     model::microseconds(500),
    model::microseconds(1000),    model::microseconds(2000),
    model::microseconds(4000),    model::microseconds(7000),
    model::microseconds(10000),   model::microseconds(20000),
    model::microseconds(40000),   model::microseconds(70000),
    model::microseconds(100000),  model::microseconds(200000),
    model::microseconds(500000),  model::microseconds(1000000),
    model::microseconds(5000000), model::microseconds(30000000)};

/// Number of events by the time that they took.
struct LatencyHistogram {
  std::array<std::uint64_t, LatencyBucketBounds.size() + 1> Buckets_{};
  std::uint64_t SumMicros_ = 0;
};

void record(LatencyHistogram &Histogram, model::Duration Latency);

/// Adds the events of one thread to a sum.
void add(LatencyHistogram &Sum, const LatencyHistogram &Part);

} // namespace cumingauge::traffic
