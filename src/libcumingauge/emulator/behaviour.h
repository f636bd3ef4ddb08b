#pragma once

#include "emulator/describe.h"
#include "model/problem.h"
#include "model/time.h"
#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace cumingauge::emulator {

enum class Distribution { Fixed, Exponential, Lognormal };
BOOST_DESCRIBE_ENUM(Distribution, Fixed, Exponential, Lognormal)

/// How long calls run whose path starts with a prefix. The longest matching
/// prefix wins.
struct ServiceTime {
  std::string PathPrefix_ = "/";
  Distribution Distribution_ = Distribution::Exponential;
  model::microseconds Mean_{5000};
  double Sigma_ = 0.5; ///< of the logarithm, for Lognormal
  std::uint64_t AnswerBytes_ = 512;
};
BOOST_DESCRIBE_STRUCT(ServiceTime, (),
                      (PathPrefix_, Distribution_, Mean_, Sigma_, AnswerBytes_))

/// Another tenant of the hardware: during the first part of every period,
/// calls that start take longer.
struct NoisyNeighbour {
  model::microseconds Period_{0}; ///< 0 for none
  model::microseconds Burst_{0};
  double Factor_ = 1;
};
BOOST_DESCRIBE_STRUCT(NoisyNeighbour, (), (Period_, Burst_, Factor_))

/// All that a stand-in of a backend server does, good or bad. Shares are
/// between 0 and 1 and drawn for each call.
struct Behaviour {
  unsigned Slots_ = 3;
  unsigned MaxConnections_ = 220;
  unsigned MaxQueued_ = 256; ///< more calls are shed
  model::microseconds ConnectionCost_{1000};
  model::microseconds ProbeCost_{0}; ///< time in a slot of GET /load, /health
  std::vector<ServiceTime> ServiceTimes_ = {ServiceTime()};
  double SlowFactor_ = 1;
  NoisyNeighbour Noise_;
  model::milliseconds ReportLag_{0};
  bool ReportTellsAge_ = true;
  double ReportFactor_ = 1; ///< of the true figures
  bool Draining_ = false;
  model::milliseconds ColdFor_{0}; ///< after the start of the server
  double ColdFactor_ = 5;          ///< of the service time while cold
  bool ColdRefuses_ = false;       ///< refuses calls while cold
  bool HonoursCancel_ = true;
  bool HonoursDeadline_ = true;
  double FailShare_ = 0;  ///< answered 500 at once
  double ResetShare_ = 0; ///< connection reset at once
  double CutShare_ = 0;   ///< answers that end half way
  double TwiceShare_ = 0; ///< answers that are sent twice
  double LateShare_ = 0;  ///< answers that are held back
  model::milliseconds LateBy_{0};
  bool Frozen_ = false;
};
BOOST_DESCRIBE_STRUCT(Behaviour, (),
                      (Slots_, MaxConnections_, MaxQueued_, ConnectionCost_,
                       ProbeCost_, ServiceTimes_, SlowFactor_, Noise_,
                       ReportLag_, ReportTellsAge_, ReportFactor_, Draining_,
                       ColdFor_, ColdFactor_, ColdRefuses_, HonoursCancel_,
                       HonoursDeadline_, FailShare_, ResetShare_, CutShare_,
                       TwiceShare_, LateShare_, LateBy_, Frozen_))

/// Range checks; empty when valid.
model::Problems checkBehaviour(const Behaviour &Value, const std::string &Path);

/// Entry of the table for a path. The table must not be empty.
const ServiceTime &serviceTimeFor(const Behaviour &Value,
                                  const std::string &Path);

/// Draws the time that a call takes when it starts now.
/// \param Age time since the server started.
model::Duration drawServiceTime(const Behaviour &Value, const ServiceTime &Time,
                                model::Duration Age, pcg32 &Random);

/// True for one of a share of the calls.
bool drawBernoulli(double Probability, pcg32 &Random);

} // namespace cumingauge::emulator
