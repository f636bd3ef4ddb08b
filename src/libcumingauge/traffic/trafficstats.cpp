#include "traffic/trafficstats.h"
#include <algorithm>

namespace cumingauge::traffic {

namespace {

/// Pairs of server and fault that are counted apart, which bounds the metrics
/// of a large fleet.
constexpr std::size_t MaxAnswerFaultKeys = 256;
constexpr const char *OtherServers = "other";

} // namespace

void recordCall(RouteStats &Stats, model::ResultCode Code,
                model::Duration Latency) {
  ++Stats.Calls_[Code];
  const auto Bound = std::lower_bound(LatencyBucketBounds.begin(),
                                      LatencyBucketBounds.end(), Latency);
  ++Stats.Latencies_[static_cast<std::size_t>(Bound -
                                              LatencyBucketBounds.begin())];
  Stats.LatencySumMicros_ += static_cast<std::uint64_t>(
      std::chrono::duration_cast<model::microseconds>(Latency).count());
}

void recordFaultyAnswer(TrafficStats &Stats, std::string_view Server,
                        model::AnswerFault Fault) {
  const AnswerFaultKey Key(Server, Fault);
  const bool IsCountedApart = Stats.FaultyAnswers_.count(Key) > 0 ||
                              Stats.FaultyAnswers_.size() < MaxAnswerFaultKeys;
  ++Stats.FaultyAnswers_[IsCountedApart ? Key
                                        : AnswerFaultKey(OtherServers, Fault)];
}

void addStats(TrafficStats &Sum, const TrafficStats &Part) {
  for (const auto &[Name, Route] : Part.Routes_) {
    RouteStats &Total = Sum.Routes_[Name];
    for (const auto &[Code, Count] : Route.Calls_)
      Total.Calls_[Code] += Count;
    for (std::size_t I = 0; I < Route.Latencies_.size(); ++I)
      Total.Latencies_[I] += Route.Latencies_[I];
    Total.LatencySumMicros_ += Route.LatencySumMicros_;
  }
  Sum.InFlight_ += Part.InFlight_;
  Sum.Queued_ += Part.Queued_;
  Sum.CallerConnections_ += Part.CallerConnections_;
  Sum.BackendConnections_ += Part.BackendConnections_;
  Sum.Attempts_ += Part.Attempts_;
  Sum.Retries_ += Part.Retries_;
  Sum.Hedges_ += Part.Hedges_;
  Sum.Withdrawn_ += Part.Withdrawn_;
  Sum.ProbesSent_ += Part.ProbesSent_;
  Sum.ProbesFailed_ += Part.ProbesFailed_;
  Sum.StoppingCalls_ += Part.StoppingCalls_;
  Sum.AbandonedCalls_ += Part.AbandonedCalls_;
  Sum.AnnouncedLeaving_ += Part.AnnouncedLeaving_;
  Sum.PausedServers_ += Part.PausedServers_;
  Sum.ColdServers_ += Part.ColdServers_;
  Sum.ColdServersClosed_ += Part.ColdServersClosed_;
  Sum.UnreadableNotices_ += Part.UnreadableNotices_;
  Sum.DiscardingConnections_ += Part.DiscardingConnections_;
  // Every thread reports the same two values, which are those of the process.
  Sum.CallerMemoryBytes_ =
      std::max(Sum.CallerMemoryBytes_, Part.CallerMemoryBytes_);
  Sum.CallerMemoryBound_ =
      std::max(Sum.CallerMemoryBound_, Part.CallerMemoryBound_);
  for (const auto &[Use, Count] : Part.Evicted_)
    Sum.Evicted_[Use] += Count;
  for (const auto &[Key, Count] : Part.FaultyAnswers_)
    Sum.FaultyAnswers_[Key] += Count;
}

} // namespace cumingauge::traffic
