#pragma once

#include "model/resultcode.h"
#include "model/time.h"
#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace cumingauge::traffic {

/// Upper bounds of the latency buckets; one more bucket takes the rest.
constexpr std::array<model::microseconds, 18> LatencyBounds = {
    model::microseconds(100),     model::microseconds(200),
    model::microseconds(320),     model::microseconds(500),
    model::microseconds(1000),    model::microseconds(2000),
    model::microseconds(4000),    model::microseconds(7000),
    model::microseconds(10000),   model::microseconds(20000),
    model::microseconds(40000),   model::microseconds(70000),
    model::microseconds(100000),  model::microseconds(200000),
    model::microseconds(500000),  model::microseconds(1000000),
    model::microseconds(5000000), model::microseconds(30000000)};

/// Calls of one route, from arrival to the end of the answer.
struct RouteFigures {
  std::map<model::ResultCode, std::uint64_t> Calls_;
  std::array<std::uint64_t, LatencyBounds.size() + 1> Latencies_{};
  std::uint64_t LatencySumMicros_ = 0;
};

/// What the traffic threads have counted since the process started; InFlight_
/// Queued_ and the connections are those of now.
struct TrafficFigures {
  std::map<std::string, RouteFigures> Routes_; ///< empty name: no route found
  std::uint64_t InFlight_ = 0;
  std::uint64_t Queued_ = 0;
  std::uint64_t CallerConnections_ = 0;
  std::uint64_t BackendConnections_ = 0;
  std::uint64_t Attempts_ = 0;
  std::uint64_t Retries_ = 0;
  std::uint64_t Hedges_ = 0;
  std::uint64_t ProbesSent_ = 0;
  std::uint64_t ProbesFailed_ = 0;
};

/// Counts one call that has ended.
void noteCall(RouteFigures &Figures, model::ResultCode Code,
              model::Duration Latency);

/// Adds the figures of one thread to a sum.
void addFigures(TrafficFigures &Sum, const TrafficFigures &Part);

} // namespace cumingauge::traffic
