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

/// Service time and answer length of calls whose path starts with a prefix. The
/// longest matching prefix applies.
struct ServiceTime {
  std::string PathPrefix_ = "/";
  Distribution Distribution_ = Distribution::Exponential;
  model::microseconds Mean_{5000};
  double Sigma_ = 0.5; ///< standard deviation of the logarithm, for Lognormal
  std::uint64_t AnswerBytes_ = 512;
};
BOOST_DESCRIBE_STRUCT(ServiceTime, (),
                      (PathPrefix_, Distribution_, Mean_, Sigma_, AnswerBytes_))

/// Interference by another program on the hardware: calls that start during the
/// first part of a period (Burst_) take Factor_ times as long.
struct NoisyNeighbour {
  model::microseconds Period_{0}; ///< 0 for none
  model::microseconds Burst_{0};
  double Factor_ = 1;
};
BOOST_DESCRIBE_STRUCT(NoisyNeighbour, (), (Period_, Burst_, Factor_))

/// How an emulated backend server behaves, with the faults that it injects.
/// Shares are probabilities between 0 and 1, drawn for each call.
struct Behaviour {
  unsigned Slots_ = 3;            ///< calls that run at the same time
  unsigned MaxConnections_ = 220; ///< further connections are closed
  unsigned MaxQueued_ = 256;      ///< further calls are shed
  /// Delay before the first request of a new connection is read.
  model::microseconds ConnectionCost_{1000};
  /// Time that GET /load and /health occupy a slot.
  model::microseconds ProbeCost_{0};
  std::vector<ServiceTime> ServiceTimes_ = {ServiceTime()};
  double SlowFactor_ = 1; ///< of all drawn service times
  NoisyNeighbour Noise_;
  /// Load reports show the state of this long ago.
  model::milliseconds ReportLag_{0};
  bool ReportTellsAge_ = true;     ///< reports state the lag; else age 0
  double ReportFactor_ = 1;        ///< of the true numbers of calls
  bool Draining_ = false;          ///< refuses new calls, completes the others
  model::milliseconds ColdFor_{0}; ///< after the start of the server
  double ColdFactor_ = 5;          ///< of the service time while cold
  bool ColdRefuses_ = false;       ///< refuses calls while cold
  bool HonoursCancel_ = true;      ///< ends a call when its caller disconnects
  bool HonoursDeadline_ = true;    ///< ends a call at its deadline
  double FailShare_ = 0;           ///< answered with 500 immediately
  double ResetShare_ = 0;          ///< connection reset on arrival
  double CutShare_ = 0;            ///< answers truncated at half of the body
  double TwiceShare_ = 0;          ///< answers that are sent twice
  double LateShare_ = 0;           ///< answers that are delayed by LateBy_
  model::milliseconds LateBy_{0};
  bool Frozen_ = false; ///< starts and answers nothing while true
};
BOOST_DESCRIBE_STRUCT(Behaviour, (),
                      (Slots_, MaxConnections_, MaxQueued_, ConnectionCost_,
                       ProbeCost_, ServiceTimes_, SlowFactor_, Noise_,
                       ReportLag_, ReportTellsAge_, ReportFactor_, Draining_,
                       ColdFor_, ColdFactor_, ColdRefuses_, HonoursCancel_,
                       HonoursDeadline_, FailShare_, ResetShare_, CutShare_,
                       TwiceShare_, LateShare_, LateBy_, Frozen_))

/// Returns the values that are out of range; empty when all are valid.
model::Problems checkBehaviour(const Behaviour &Value, const std::string &Path);

/// Returns the entry of ServiceTimes_ with the longest prefix of a path, or the
/// first entry when no prefix matches. ServiceTimes_ must not be empty.
const ServiceTime &serviceTimeFor(const Behaviour &Value,
                                  const std::string &Path);

/// Draws the service time of a call that starts now.
/// \param Age time since the server started.
model::Duration drawServiceTime(const Behaviour &Value, const ServiceTime &Time,
                                model::Duration Age, pcg32 &Random);

/// Returns true with the given probability.
bool drawBernoulli(double Probability, pcg32 &Random);

} // namespace cumingauge::emulator
