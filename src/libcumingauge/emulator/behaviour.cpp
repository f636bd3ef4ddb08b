#include "emulator/behaviour.h"
#include <cmath>
#include <random>

namespace cumingauge::emulator {

namespace {

void checkProbability(double Value, const std::string &Path,
                      model::Problems &Found) {
  if (Value < 0 || Value > 1)
    Found.push_back({Path, "must be between 0 and 1"});
}

void checkFactor(double Value, const std::string &Path,
                 model::Problems &Found) {
  if (!(Value > 0))
    Found.push_back({Path, "must be above 0"});
}

/// Draws a service time in us, without the factors of the behaviour.
double drawUnscaledMicros(const ServiceTime &Time, pcg32 &Random) {
  const double Mean = static_cast<double>(Time.Mean_.count());
  if (Mean <= 0 || Time.Distribution_ == Distribution::Fixed)
    return Mean;
  if (Time.Distribution_ == Distribution::Exponential)
    return std::exponential_distribution<double>(1 / Mean)(Random);
  const double Mu = std::log(Mean) - Time.Sigma_ * Time.Sigma_ / 2;
  return std::lognormal_distribution<double>(Mu, Time.Sigma_)(Random);
}

/// Returns true when calls that start at this age of the server are slowed
/// down.
bool isInBurst(const NoisyNeighbour &Noise, model::Duration Age) {
  return Noise.Period_.count() > 0 && Age % Noise.Period_ < Noise.Burst_;
}

} // namespace

model::Problems checkBehaviour(const Behaviour &Value,
                               const std::string &Path) {
  model::Problems Found;
  if (Value.Slots_ < 1)
    Found.push_back({Path + "/slots", "must be at least 1"});
  if (Value.ServiceTimes_.empty())
    Found.push_back({Path + "/serviceTimes", "must have an entry"});
  for (std::size_t I = 0; I < Value.ServiceTimes_.size(); ++I)
    if (Value.ServiceTimes_[I].Mean_.count() < 0)
      Found.push_back({Path + "/serviceTimes/" + std::to_string(I) + "/meanUs",
                       "must not be negative"});
  checkFactor(Value.SlowFactor_, Path + "/slowFactor", Found);
  checkFactor(Value.Noise_.Factor_, Path + "/noise/factor", Found);
  checkFactor(Value.ColdFactor_, Path + "/coldFactor", Found);
  checkProbability(Value.FailShare_, Path + "/failShare", Found);
  checkProbability(Value.ResetShare_, Path + "/resetShare", Found);
  checkProbability(Value.CutShare_, Path + "/cutShare", Found);
  checkProbability(Value.TwiceShare_, Path + "/twiceShare", Found);
  checkProbability(Value.LateShare_, Path + "/lateShare", Found);
  if (Value.ReportFactor_ < 0)
    Found.push_back({Path + "/reportFactor", "must not be negative"});
  return Found;
}

const ServiceTime &serviceTimeFor(const Behaviour &Value,
                                  const std::string &Path) {
  const ServiceTime *Best = &Value.ServiceTimes_.front();
  std::size_t BestLength = 0;
  for (const ServiceTime &Time : Value.ServiceTimes_) {
    const std::size_t Length = Time.PathPrefix_.size();
    if (Path.compare(0, Length, Time.PathPrefix_) == 0 &&
        Length >= BestLength) {
      Best = &Time;
      BestLength = Length;
    }
  }
  return *Best;
}

model::Duration drawServiceTime(const Behaviour &Value, const ServiceTime &Time,
                                model::Duration Age, pcg32 &Random) {
  double Micros = drawUnscaledMicros(Time, Random) * Value.SlowFactor_;
  if (isInBurst(Value.Noise_, Age))
    Micros *= Value.Noise_.Factor_;
  if (Age < Value.ColdFor_)
    Micros *= Value.ColdFactor_;
  return model::Duration(static_cast<std::int64_t>(Micros * 1000));
}

bool drawBernoulli(double Probability, pcg32 &Random) {
  if (Probability <= 0)
    return false;
  return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
}

} // namespace cumingauge::emulator
