#include "policy/latency.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

constexpr double MeanGain = 0.02;
constexpr double QuantileStep = 0.03;
constexpr unsigned SettledSamples = 50;
constexpr double RatioGain = 0.2;
constexpr double MaxRatio = 50;
constexpr model::seconds Fade{5};

} // namespace

void noteLatency(RouteLatency &Record, model::Duration Latency,
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

bool isSettled(const RouteLatency &Record) {
  return Record.Samples_ >= SettledSamples;
}

void noteRatio(Slowness &Record, double Ratio, model::TimePoint Now) {
  const double Before = currentSlowness(Record, Now);
  Record.Ratio_ = Before + (std::min(Ratio, MaxRatio) - Before) * RatioGain;
  Record.At_ = Now;
}

void noteRatioAtLeast(Slowness &Record, double Ratio, model::TimePoint Now) {
  if (Ratio > currentSlowness(Record, Now))
    noteRatio(Record, Ratio, Now);
}

double currentSlowness(const Slowness &Record, model::TimePoint Now) {
  if (Record.Ratio_ <= 1)
    return 1;
  const auto Age = static_cast<double>((Now - Record.At_).count());
  const auto FadeNs = static_cast<double>(model::Duration(Fade).count());
  return 1 + (Record.Ratio_ - 1) * std::max(0.0, 1 - Age / FadeNs);
}

} // namespace cumingauge::policy
