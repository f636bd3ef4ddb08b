#include "emulator/loadresult.h"
#include "model/resultcode.h"
#include <algorithm>
#include <cmath>
#include <functional>

namespace cumingauge::emulator {

namespace {

/// The percentile curve has its points where the share of slower calls is 10^0
/// to 10^-5, with eight points per decade.
constexpr int CurveDecades = 5;
constexpr int PointsPerDecade = 8;

double toMs(model::Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

using Filter = std::function<bool(const CallOutcome &)>;

/// Returns the sorted latencies, in ms, of the answered calls that \p Passes
/// accepts.
std::vector<double> latencies(const std::vector<CallOutcome> &Outcomes,
                              const Filter &Passes) {
  std::vector<double> Out;
  for (const CallOutcome &One : Outcomes)
    if (One.Kind_ == OutcomeKind::Answer && Passes(One))
      Out.push_back(toMs(One.Latency_));
  std::sort(Out.begin(), Out.end());
  return Out;
}

LatencySummary summarizeLatencies(const std::vector<double> &Sorted,
                                  std::uint64_t Calls) {
  return {Calls,
          Sorted.size(),
          quantileOf(Sorted, 0.5),
          quantileOf(Sorted, 0.9),
          quantileOf(Sorted, 0.99),
          quantileOf(Sorted, 0.999),
          Sorted.empty() ? 0 : Sorted.back()};
}

std::vector<CurvePoint> percentileCurve(const std::vector<double> &Sorted) {
  std::vector<CurvePoint> Out;
  for (int I = 0; I <= CurveDecades * PointsPerDecade; ++I) {
    const double Above =
        std::pow(10.0, -static_cast<double>(I) / PointsPerDecade);
    // Points beyond the last sample would only repeat the maximum.
    if (Sorted.empty() || Above * static_cast<double>(Sorted.size()) < 1)
      break;
    Out.push_back({1 - Above, quantileOf(Sorted, 1 - Above)});
  }
  return Out;
}

RouteResult routeResult(const std::vector<CallOutcome> &Outcomes,
                        const Filter &Passes) {
  RouteResult Out;
  std::uint64_t Calls = 0;
  for (const CallOutcome &One : Outcomes)
    if (Passes(One)) {
      ++Calls;
      ++Out.Outcomes_[outcomeName(One)];
    }
  const std::vector<double> Sorted = latencies(Outcomes, Passes);
  Out.Latency_ = summarizeLatencies(Sorted, Calls);
  Out.Curve_ = percentileCurve(Sorted);
  return Out;
}

std::vector<TimelineBucket>
makeTimeline(const LoadPlan &Plan, const std::vector<CallOutcome> &Outcomes) {
  const std::size_t Count = static_cast<std::size_t>(
      (Plan.Duration_ + Plan.Bucket_ - model::milliseconds(1)) / Plan.Bucket_);
  std::vector<TimelineBucket> Out(Count);
  std::vector<std::vector<double>> Sorted(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Out[I].AtMs_ = I * static_cast<std::uint64_t>(Plan.Bucket_.count());
  for (const CallOutcome &One : Outcomes) {
    const auto Index =
        std::min(Count - 1, static_cast<std::size_t>(One.At_ / Plan.Bucket_));
    ++Out[Index].Calls_;
    if (One.Kind_ == OutcomeKind::Answer)
      Sorted[Index].push_back(toMs(One.Latency_));
  }
  for (std::size_t I = 0; I < Count; ++I) {
    std::sort(Sorted[I].begin(), Sorted[I].end());
    Out[I].Answered_ = Sorted[I].size();
    Out[I].P50Ms_ = quantileOf(Sorted[I], 0.5);
    Out[I].P99Ms_ = quantileOf(Sorted[I], 0.99);
    Out[I].MaxMs_ = Sorted[I].empty() ? 0 : Sorted[I].back();
  }
  return Out;
}

void addRoutes(const LoadPlan &Plan, const std::vector<CallOutcome> &Outcomes,
               LoadResult &Out) {
  for (std::uint32_t Route = 0; Route < Plan.Routes_.size(); ++Route) {
    Out.Routes_.push_back(
        routeResult(Outcomes, [Route](const CallOutcome &One) {
          return One.Route_ == Route;
        }));
    Out.Routes_.back().Route_ = Plan.Routes_[Route].Name_;
  }
  for (std::size_t Phase = 0; Phase < Plan.Phases_.size(); ++Phase)
    for (std::uint32_t Route = 0; Route < Plan.Routes_.size(); ++Route) {
      Out.Routes_.push_back(routeResult(Outcomes, [&](const CallOutcome &One) {
        return One.Route_ == Route && phaseAt(Plan, One.At_) == Phase;
      }));
      Out.Routes_.back().Route_ = Plan.Routes_[Route].Name_;
      Out.Routes_.back().Phase_ = Plan.Phases_[Phase].Name_;
      Out.Routes_.back().Curve_.clear();
    }
}

} // namespace

double quantileOf(const std::vector<double> &Sorted, double Quantile) {
  if (Sorted.empty())
    return 0;
  const double Rank =
      std::ceil(Quantile * static_cast<double>(Sorted.size()) - 1e-9);
  const auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

std::string outcomeName(const CallOutcome &Outcome) {
  if (Outcome.Code_ > 0)
    return std::to_string(Outcome.Code_) + " " +
           std::string(
               model::nameOf(static_cast<model::ResultCode>(Outcome.Code_)));
  return codec::detail::lowerFirst(
      boost::describe::enum_to_string(Outcome.Kind_, ""));
}

LoadResult summarize(const LoadPlan &Plan,
                     const std::vector<CallOutcome> &Outcomes) {
  LoadResult Out;
  Out.Seed_ = Plan.Seed_;
  Out.DurationMs_ = static_cast<std::uint64_t>(Plan.Duration_.count());
  Out.BucketMs_ = static_cast<std::uint64_t>(Plan.Bucket_.count());
  const RouteResult All =
      routeResult(Outcomes, [](const CallOutcome &) { return true; });
  Out.Overall_ = All.Latency_;
  Out.Outcomes_ = All.Outcomes_;
  Out.AnsweredPerSecond_ = static_cast<double>(All.Latency_.Answered_) * 1000 /
                           static_cast<double>(Plan.Duration_.count());
  addRoutes(Plan, Outcomes, Out);
  Out.Timeline_ = makeTimeline(Plan, Outcomes);
  for (const EntryAddress &Entry : Plan.Entries_)
    Out.Entries_.push_back(
        {Entry.Host_ + ":" + std::to_string(Entry.Port_), 0, 0});
  for (const CallOutcome &One : Outcomes)
    ++Out.Entries_[One.Entry_].Calls_;
  for (const LoadAction &Action : Plan.Actions_)
    Out.Marks_.push_back(
        {static_cast<std::uint64_t>(Action.At_.count()),
         Action.Label_.empty() ? Action.Target_ : Action.Label_});
  return Out;
}

} // namespace cumingauge::emulator
