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
  record(Stats.Latencies_, Latency);
}

void recordCredit(CreditStats &Stats, control::CreditAnswer Answer,
                  std::optional<model::Duration> Waited) {
  ++Stats.Answers_[Answer];
  if (Waited)
    record(Stats.Waits_, *Waited);
  else if (Answer == control::CreditAnswer::Granted)
    ++Stats.UnusedGrants_;
}

void recordCreditWaitEnd(CreditStats &Stats, model::Duration Waited) {
  record(Stats.Waits_, Waited);
  ++Stats.EndedWaits_;
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
    add(Total.Latencies_, Route.Latencies_);
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
  for (const auto &[End, Count] : Part.ConnectionEnds_)
    Sum.ConnectionEnds_[End] += Count;
  for (const auto &[Key, Count] : Part.FaultyAnswers_)
    Sum.FaultyAnswers_[Key] += Count;
  for (const auto &[Answer, Count] : Part.Credit_.Answers_)
    Sum.Credit_.Answers_[Answer] += Count;
  add(Sum.Credit_.Waits_, Part.Credit_.Waits_);
  Sum.Credit_.EndedWaits_ += Part.Credit_.EndedWaits_;
  Sum.Credit_.RefusedWaits_ += Part.Credit_.RefusedWaits_;
  Sum.Credit_.UnusedGrants_ += Part.Credit_.UnusedGrants_;
  Sum.Credit_.Waiting_ += Part.Credit_.Waiting_;
}

} // namespace cumingauge::traffic
