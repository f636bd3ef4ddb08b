#include "policy/learning.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

constexpr double UsualLoadGain = 0.05;
constexpr double PercentOfUsual = 100;
/// A timeout counts against the server from this many usual latencies on.
constexpr double SlowTimeout = 3;
constexpr double TrustLoss = 0.5;    ///< per report proved wrong
constexpr double TrustGain = 0.0003; ///< of what is missing, per other report

bool isFailure(AttemptEnd End) {
  return End == AttemptEnd::AnsweredError || End == AttemptEnd::Broken ||
         End == AttemptEnd::ConnectFailed || End == AttemptEnd::TimedOut;
}

/// How this latency compares with the usual one of the route; 1 when unknown.
double ratioToUsual(const RouteLatency &Usual, model::Duration Latency) {
  return Usual.MeanNs_ > 0
             ? static_cast<double>(Latency.count()) / Usual.MeanNs_
             : 1;
}

/// True when the end says something about the server. A call with so little
/// time that a usual answer would have been late says nothing.
bool isOutcome(const RouteLatency &Usual, const AttemptOutcome &Outcome) {
  if (Outcome.End_ == AttemptEnd::TimedOut && Usual.MeanNs_ > 0)
    return ratioToUsual(Usual, Outcome.Latency_) >= SlowTimeout;
  return Outcome.End_ == AttemptEnd::Answered || isFailure(Outcome.End_);
}

void learnLatency(BalancerState &State, ServiceRecord &Service,
                  ServerRecord &Server, const AttemptOutcome &Outcome,
                  model::TimePoint Now) {
  RouteLatency &Usual = latencyOf(Service, Outcome.Call_.Route_.Name_);
  // What the reported pace explains is neither the server's nor the route's.
  const auto Latency = model::Duration(
      static_cast<long long>(static_cast<double>(Outcome.Latency_.count()) /
                             std::max(1.0, Server.Pace_)));
  const double Ratio = ratioToUsual(Usual, Latency);
  if (Outcome.End_ == AttemptEnd::Cancelled ||
      Outcome.End_ == AttemptEnd::TimedOut) {
    noteRatioAtLeast(Server.Slowness_, Ratio, Now);
    return;
  }
  if (Outcome.End_ != AttemptEnd::Answered)
    return;
  noteRatio(Server.Slowness_, Ratio, Now);
  const double Quantile = State.Preset_.Hedge_.LatencyQuantile_;
  noteLatency(Usual, Latency, Quantile);
  noteLatency(Service.Latency_, Latency, Quantile);
}

void ejectWithinCeiling(BalancerState &State, ServiceRecord &Service,
                        ServerRecord &Server, model::TimePoint Now) {
  const model::EjectionRule &Rule = State.Preset_.Ejection_;
  const bool AlreadyOut = Server.Outlier_.Standing_ != Standing::Good;
  const double Ceiling =
      Rule.MaxEjectedShare_ * static_cast<double>(Service.Members_.size());
  if (!AlreadyOut && Service.Ejected_ + 1 > Ceiling) {
    count(State.Reasons_, ChoiceReason::EjectionCeiling);
    return;
  }
  Service.Ejected_ += !AlreadyOut;
  eject(Server.Outlier_, Rule, Now);
  count(State.Reasons_, ChoiceReason::ServerEjected);
}

void learnOutcome(BalancerState &State, ServiceRecord &Service,
                  ServerRecord &Server, AttemptEnd End, model::TimePoint Now) {
  switch (noteOutcome(Server.Outlier_, isFailure(End), State.Preset_.Ejection_,
                      Now)) {
  case OutlierStep::None:
    return;
  case OutlierStep::WantsEjection:
    ejectWithinCeiling(State, Service, Server, Now);
    return;
  case OutlierStep::PassedProbation:
    Service.Ejected_ -= Service.Ejected_ > 0;
    Server.RampStart_ = Now;
    count(State.Reasons_, ChoiceReason::ServerReturned);
    return;
  }
}

/// A server that sheds has more calls than the fleet may send, whatever its
/// last report said.
void learnShed(BalancerState &State, ServiceRecord &Service,
               ServerRecord &Server, model::TimePoint Now) {
  Server.Report_.Known_ = true;
  Server.Report_.Backlog_ =
      std::max(Server.Report_.Backlog_,
               Server.Slots_ * State.Preset_.Servers_.InFlightPerSlot_);
  Server.Report_.TrueAt_ = Now;
  Server.Report_.HeardAt_ = Now;
  Server.Report_.SameInRow_ = 0;
  const double Share = Service.Slots_ *
                       State.Preset_.Servers_.InFlightPerSlot_ /
                       State.Deciders_;
  if (Share >= 1)
    return;
  // Less than one call in flight per thread: take turns by pausing.
  const double Pause = Service.Latency_.MeanNs_ * (1 / Share - 1);
  const double Jitter = 0.5 + State.Random_(1024) / 1024.0;
  Service.HeldUntil_ =
      Now + model::Duration(static_cast<long long>(Pause * Jitter));
}

/// Some servers' reports being proved wrong speaks against those of all.
void judgeReports(ServiceRecord &Service, bool ProvedWrong) {
  if (ProvedWrong)
    Service.ReportTrust_ *= 1 - TrustLoss;
  else
    Service.ReportTrust_ += (1 - Service.ReportTrust_) * TrustGain;
}

} // namespace

void learnFrom(BalancerState &State, ServiceRecord &Service,
               ServerRecord &Server, const AttemptOutcome &Outcome,
               model::TimePoint Now) {
  learnLatency(State, Service, Server, Outcome, Now);
  if (isOutcome(latencyOf(Service, Outcome.Call_.Route_.Name_), Outcome))
    learnOutcome(State, Service, Server, Outcome.End_, Now);
  if (Outcome.End_ == AttemptEnd::Shed)
    learnShed(State, Service, Server, Now);
  if (Outcome.End_ == AttemptEnd::Draining)
    Server.Draining_ = true;
}

void learnReport(BalancerState &State, ServerRecord &Server,
                 const model::LoadReport &Report, model::TimePoint Now) {
  Server.Draining_ = Report.Draining_;
  if (Report.Draining_)
    return; // other processes pass the word on without figures
  const bool ProvedWrong =
      takeReport(Server.Report_, Report, Server.InFlight_, Now);
  if (Report.Cold_)
    Server.RampStart_ = Now;
  Server.Pace_ = Report.PacePercent_ / PercentOfUsual;
  ServiceRecord &Service = State.Services_[Server.Service_];
  judgeReports(Service, ProvedWrong);
  if (Report.Slots_ > 0 && Report.Slots_ != Server.Slots_) {
    if (Server.Present_ && !Server.Leaving_)
      Service.Slots_ += Report.Slots_ - Server.Slots_;
    Server.Slots_ = Report.Slots_;
  }
  const double Load = Server.Report_.Backlog_ / Server.Slots_;
  Service.UsualLoad_ += (Load - Service.UsualLoad_) * UsualLoadGain;
}

} // namespace cumingauge::policy
