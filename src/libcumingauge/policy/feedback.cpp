#include "policy/feedback.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Weight of a new report in the mean load of a service (EWMA).
constexpr double MeanLoadGain = 0.05;
/// PacePercent_ of a server that runs at its usual speed.
constexpr double FullPercent = 100;
/// Multiple of the mean latency from which on a timeout counts as a failure of
/// the server.
constexpr double SlowTimeoutRatio = 3;
constexpr double TrustLoss =
    0.5; ///< fraction lost for each report proved wrong
constexpr double TrustGain =
    0.0003; ///< fraction of the gap to 1 regained with each other report

/// Returns whether the attempt failed in a way that may be the server's fault.
bool isFailure(AttemptEnd End) {
  return End == AttemptEnd::AnsweredError || End == AttemptEnd::Broken ||
         End == AttemptEnd::ConnectFailed || End == AttemptEnd::TimedOut;
}

/// Returns the latency in multiples of the route's mean; 1 when it is unknown.
double ratioToMean(const RouteLatency &RouteMean, model::Duration Latency) {
  return RouteMean.MeanNs_ > 0
             ? static_cast<double>(Latency.count()) / RouteMean.MeanNs_
             : 1;
}

/// Returns whether the end of the attempt counts for or against the server. A
/// call with so little time that a normal response would have been late does
/// not count.
bool isConclusive(const RouteLatency &RouteMean,
                  const AttemptOutcome &Outcome) {
  if (Outcome.End_ == AttemptEnd::TimedOut && RouteMean.MeanNs_ > 0)
    return ratioToMean(RouteMean, Outcome.Latency_) >= SlowTimeoutRatio;
  return Outcome.End_ == AttemptEnd::Answered || isFailure(Outcome.End_);
}

/// Updates the slowness of the server and, for complete answers, the latency of
/// the route and the service.
void updateLatency(BalancerState &State, ServiceRecord &Service,
                   ServerRecord &Server, const AttemptOutcome &Outcome,
                   model::TimePoint Now) {
  RouteLatency &RouteMean = latencyOf(Service, Outcome.Call_.Route_.Name_);
  // Take out the part that the reported pace explains: it must count neither
  // against the server nor into the route's mean.
  const auto Latency = model::Duration(
      static_cast<long long>(static_cast<double>(Outcome.Latency_.count()) /
                             std::max(1.0, Server.Pace_)));
  const double Ratio = ratioToMean(RouteMean, Latency);
  if (Outcome.End_ == AttemptEnd::Cancelled ||
      Outcome.End_ == AttemptEnd::TimedOut) {
    recordMinLatencyRatio(Server.Slowness_, Ratio, Now);
    return;
  }
  if (Outcome.End_ != AttemptEnd::Answered)
    return;
  recordLatencyRatio(Server.Slowness_, Ratio, Now);
  const double Quantile = State.Preset_.Hedge_.LatencyQuantile_;
  recordLatency(RouteMean, Latency, Quantile);
  recordLatency(Service.Latency_, Latency, Quantile);
}

/// Ejects the server unless too many servers of the service are ejected
/// already.
void ejectWithinCeiling(BalancerState &State, ServiceRecord &Service,
                        ServerRecord &Server, model::TimePoint Now) {
  const model::EjectionRule &Rule = State.Preset_.Ejection_;
  const bool IsAlreadyOut =
      Server.Outlier_.EjectionState_ != EjectionState::Healthy;
  const double Ceiling =
      Rule.MaxEjectedShare_ * static_cast<double>(Service.Members_.size());
  if (!IsAlreadyOut && Service.Ejected_ + 1 > Ceiling) {
    count(State.Reasons_, ChoiceReason::EjectionCeiling);
    return;
  }
  Service.Ejected_ += !IsAlreadyOut;
  eject(Server.Outlier_, Rule, Now);
  count(State.Reasons_, ChoiceReason::ServerEjected);
}

/// Records the outcome for outlier ejection and acts on the result.
void updateOutlier(BalancerState &State, ServiceRecord &Service,
                   ServerRecord &Server, AttemptEnd End, model::TimePoint Now) {
  switch (recordOutcome(Server.Outlier_, isFailure(End),
                        State.Preset_.Ejection_, Now)) {
  case OutlierEvent::None:
    return;
  case OutlierEvent::ShouldEject:
    ejectWithinCeiling(State, Service, Server, Now);
    return;
  case OutlierEvent::PassedProbation:
    Service.Ejected_ -= Service.Ejected_ > 0;
    Server.RampStart_ = Now;
    count(State.Reasons_, ChoiceReason::ServerReturned);
    return;
  }
}

/// Sets the server's backlog to at least the fleet's limit, whatever its last
/// report stated, because a server that sheds has more calls than that. Where
/// the thread's share is below one call, also pauses the service.
void applyShed(BalancerState &State, ServiceRecord &Service,
               ServerRecord &Server, model::TimePoint Now) {
  Server.Report_.Known_ = true;
  Server.Report_.Backlog_ =
      std::max(Server.Report_.Backlog_,
               Server.Slots_ * State.Preset_.Servers_.InFlightPerSlot_);
  Server.Report_.MeasuredAt_ = Now;
  Server.Report_.HeardAt_ = Now;
  Server.Report_.UnchangedReports_ = 0;
  const double Share = Service.Slots_ *
                       State.Preset_.Servers_.InFlightPerSlot_ /
                       State.FleetThreads_;
  if (Share >= 1)
    return;
  // The share is less than one call in flight per thread, so the threads take
  // turns: each pauses for a random time.
  const double Pause = Service.Latency_.MeanNs_ * (1 / Share - 1);
  const double Jitter = 0.5 + State.Random_(1024) / 1024.0;
  Service.PausedUntil_ =
      Now + model::Duration(static_cast<long long>(Pause * Jitter));
}

/// Lowers the trust in the reports of all servers of the service when one
/// report is proved wrong, and lets it recover slowly otherwise.
void updateReportTrust(ServiceRecord &Service, bool IsProvedWrong) {
  if (IsProvedWrong)
    Service.ReportTrust_ *= 1 - TrustLoss;
  else
    Service.ReportTrust_ += (1 - Service.ReportTrust_) * TrustGain;
}

} // namespace

void applyOutcome(BalancerState &State, ServiceRecord &Service,
                  ServerRecord &Server, const AttemptOutcome &Outcome,
                  model::TimePoint Now) {
  updateLatency(State, Service, Server, Outcome, Now);
  if (isConclusive(latencyOf(Service, Outcome.Call_.Route_.Name_), Outcome))
    updateOutlier(State, Service, Server, Outcome.End_, Now);
  if (Outcome.End_ == AttemptEnd::Shed)
    applyShed(State, Service, Server, Now);
  if (Outcome.End_ == AttemptEnd::Draining)
    Server.Draining_ = true;
}

void applyReport(BalancerState &State, ServerRecord &Server,
                 const model::LoadReport &Report, model::TimePoint Now) {
  Server.Draining_ = Report.Draining_;
  if (Report.Draining_)
    return; // reports that other processes pass on have no load figures while a
            // server drains
  const bool IsProvedWrong =
      acceptReport(Server.Report_, Report, Server.InFlight_, Now);
  if (Report.Cold_)
    Server.RampStart_ = Now;
  Server.Pace_ = Report.PacePercent_ / FullPercent;
  ServiceRecord &Service = State.Services_[Server.Service_];
  updateReportTrust(Service, IsProvedWrong);
  if (Report.Slots_ > 0 && Report.Slots_ != Server.Slots_) {
    if (Server.Present_ && !Server.Leaving_)
      Service.Slots_ += Report.Slots_ - Server.Slots_;
    Server.Slots_ = Report.Slots_;
  }
  const double Load = Server.Report_.Backlog_ / Server.Slots_;
  Service.MeanLoad_ += (Load - Service.MeanLoad_) * MeanLoadGain;
}

} // namespace cumingauge::policy
