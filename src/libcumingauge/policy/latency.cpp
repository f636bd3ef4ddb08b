#include "policy/latency.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Weight of a new response in the mean latency (EWMA).
constexpr double MeanGain = 0.02;
/// Relative step by which a response moves the tracked quantile.
constexpr double QuantileStep = 0.03;
/// Number of responses after which mean and quantile are used.
constexpr unsigned SettledSamples = 50;
/// Weight of a new response in a server's slowness (EWMA).
constexpr double RatioGain = 0.2;
/// Largest ratio that one response may contribute.
constexpr double MaxRatio = 50;
/// Time after which a server without new responses no longer counts as slow.
constexpr model::seconds SlownessFadeTime{5};

} // namespace

void recordLatency(RouteLatency &Record, model::Duration Latency,
                   double Quantile) {
  const auto Ns = static_cast<double>(std::max<long long>(Latency.count(), 1));
  Record.Samples_ = std::min(Record.Samples_ + 1, SettledSamples);
  const double Gain = std::max(MeanGain, 1.0 / Record.Samples_);
  Record.MeanNs_ += (Ns - Record.MeanNs_) * Gain;
  if (Record.QuantileNs_ == 0)
    Record.QuantileNs_ = 2 * Ns;
  Record.QuantileNs_ *= Ns > Record.QuantileNs_
                            ? 1 + QuantileStep * Quantile
                            : 1 - QuantileStep * (1 - Quantile);
}

bool hasEnoughSamples(const RouteLatency &Record) {
  return Record.Samples_ >= SettledSamples;
}

void recordLatencyRatio(Slowness &Record, double Ratio, model::TimePoint Now) {
  const double Before = currentSlowness(Record, Now);
  Record.Ratio_ = Before + (std::min(Ratio, MaxRatio) - Before) * RatioGain;
  Record.At_ = Now;
}

void recordMinLatencyRatio(Slowness &Record, double Ratio,
                           model::TimePoint Now) {
  if (Ratio > currentSlowness(Record, Now))
    recordLatencyRatio(Record, Ratio, Now);
}

double currentSlowness(const Slowness &Record, model::TimePoint Now) {
  if (Record.Ratio_ <= 1)
    return 1;
  const auto Age = static_cast<double>((Now - Record.At_).count());
  const auto FadeNs =
      static_cast<double>(model::Duration(SlownessFadeTime).count());
  return 1 + (Record.Ratio_ - 1) * std::max(0.0, 1 - Age / FadeNs);
}

} // namespace cumingauge::policy
