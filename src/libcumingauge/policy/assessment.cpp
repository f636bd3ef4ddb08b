#include "policy/assessment.h"
#include "policy/coldservers.h"
#include "policy/homes.h"
#include "policy/limits.h"
#include <algorithm>
#include <cmath>

namespace cumingauge::policy {

namespace {

/// Cost of a server whose recent responses all failed, in mean latencies.
constexpr double FailureCost = 8;
/// Mean age of this thread's calls in flight to a server, in mean latencies,
/// from which on the server counts as slow before any response shows it.
constexpr double SlowAge = 2;
/// Cost of a server whose slots are all busy but where no call waits, in mean
/// latencies. Reports are old when they are used, so an idle server is
/// preferred to a nearly busy one.
constexpr double BusyCost = 0.5;
/// Age up to which a server's last report counts as recent. It is short because
/// a server's pace may change several times a second.
constexpr model::Duration RecentAge = model::milliseconds(60);
/// Factor on the wait that the backlog of a full server alone explains. Other
/// processes act on the same report, and servers slow down when they are full:
/// of the calls sent to a server with all slots busy, three in four were late
/// where the queue alone explained none.
constexpr double FullServerWaitFactor = 3;
/// Factor on the cost of a server that did not respond to a load query, or was
/// not heard from for longer than RecentAge.
constexpr double SilentCostFactor = 3;
/// Time for which an unanswered load query counts against a server.
constexpr model::Duration QueryValidity = model::milliseconds(30);
/// Width of the random noise on an unknown backlog, in square roots of the mean
/// backlog.
constexpr double NoiseWidth = 2;
/// Least fraction of the noise that is applied, even to a report that claims to
/// be new.
constexpr double MinUncertainty = 0.2;
/// Multiple of the fleet's limit from which on a thread within its share leaves
/// a server out. Estimates are old: with a multiple of 1 most servers are left
/// out in turn, and the others get all calls.
constexpr double FullLimitFactor = 2;
/// Number of distinct values of a random draw.
constexpr std::uint32_t RandomSteps = 1024;
/// Mean latency that is assumed before the first response.
constexpr model::Duration DefaultLatency = model::milliseconds(5);

bool wasTried(const CallFacts &Call, ServerHandle Server) {
  return std::find(Call.Tried_.begin(), Call.Tried_.end(), Server) !=
         Call.Tried_.end();
}

/// Returns whether the server's ejection state allows the call. On probation a
/// server gets one call at a time, and only idempotent ones.
bool isAllowedByEjectionState(const ServerRecord &Server,
                              const AssessmentContext &Context) {
  if (Context.AllowEjected_ ||
      Server.Outlier_.EjectionState_ == EjectionState::Healthy)
    return true;
  return Server.Outlier_.EjectionState_ == EjectionState::Probation &&
         Server.InFlight_ == 0 && Context.Request_.Call_.Route_.Idempotent_;
}

/// Returns whether a server with this backlog meets the requested capacity
/// rule.
bool isWithinCapacity(double Backlog, const ServerRecord &Server,
                      const AssessmentContext &Context) {
  const model::ServerLimits &Limits = Context.State_.Preset_.Servers_;
  switch (Context.Request_.CapacityRule_) {
  case CapacityRule::Any:
    return true;
  case CapacityRule::NotFull:
    return !isFull(Backlog, FullLimitFactor * Server.Slots_, Limits);
  case CapacityRule::BelowLimit:
    return !isFull(Backlog, Server.Slots_, Limits);
  case CapacityRule::FreeSlot:
    return hasFreeSlot(Backlog, Server.Slots_);
  }
  return false;
}

/// Returns how many times slower than the mean the server is: by its responses
/// so far, or by the age of its calls in flight when that is worse.
double slownessOf(const ServerRecord &Server,
                  const AssessmentContext &Context) {
  const double Seen = currentSlowness(Server.Slowness_, Context.Now_);
  if (Server.InFlight_ == 0)
    return Seen;
  const double MeanAgeNs = static_cast<double>(
      Context.Now_.time_since_epoch().count() -
      Server.SentAtSum_ / static_cast<long long>(Server.InFlight_));
  return std::max(Seen, MeanAgeNs / Context.MeanLatencyNs_ / SlowAge);
}

/// Returns the reported pace; its weight decays with the age of the report.
double paceOf(const ServerRecord &Server, const AssessmentContext &Context) {
  const model::Duration Relaxation =
      Context.State_.Preset_.Measuring_.PaceRelaxation_;
  const auto Age =
      static_cast<double>((Context.Now_ - Server.Report_.MeasuredAt_).count());
  const double Weight = std::exp(
      -Age / std::max<double>(static_cast<double>(Relaxation.count()), 1));
  return 1 + (Server.Pace_ - 1) * Weight;
}

/// Returns whether the server may be full because it has not been heard from.
/// Only meaningful where load queries are on.
bool isSilent(const ServerRecord &Server, const AssessmentContext &Context) {
  if (Context.State_.Preset_.Measuring_.LoadQueryCount_ == 0)
    return false;
  const bool LeftQueryUnanswered =
      Server.QueriedAt_ > Server.Report_.HeardAt_ &&
      Context.Now_ - Server.QueriedAt_ < QueryValidity;
  return LeftQueryUnanswered || !wasHeardRecently(Server, Context.Now_);
}

/// Returns the expected cost in ns of sending a call to the server: wait, busy
/// slots, recent failures, slowness, pace and the availability zone.
double expectedCostNs(const ServerRecord &Server, double Backlog,
                      const AssessmentContext &Context) {
  const model::Preset &Preset = Context.State_.Preset_;
  const double Ramp =
      rampFactor(Server, Preset.Ejection_.SlowStart_, Context.Now_);
  const double Slots = std::max(1.0, Server.Slots_ * Ramp);
  const double Failing =
      Server.Outlier_.EjectionState_ == EjectionState::Healthy
          ? FailureCost * recentFailureShare(Server.Outlier_, Context.Now_)
          : 0;
  const double CostInLatencies =
      1 + expectedWait(Backlog, Slots) + BusyCost * Backlog / Slots + Failing;
  const double ZoneNs =
      Server.SameZone_
          ? 0
          : static_cast<double>(model::Duration(Preset.ZoneCost_).count());
  const double Silence = isSilent(Server, Context) ? SilentCostFactor : 1;
  return Context.MeanLatencyNs_ * CostInLatencies *
             slownessOf(Server, Context) * paceOf(Server, Context) * Silence +
         ZoneNs;
}

/// Adds random noise to the estimated backlog, in proportion to its
/// uncertainty. Without it, processes that have the same old reports would all
/// choose the same server.
double randomizedBacklog(const BacklogEstimate &Backlog,
                         const AssessmentContext &Context) {
  const double Uncertainty = std::sqrt(Backlog.Weight_) *
                             std::max(1 - Backlog.Weight_, MinUncertainty);
  const double Draw = Context.Random_(RandomSteps) / double(RandomSteps) - 0.5;
  const double Noise = Context.NoiseCalls_ * Uncertainty * Draw;
  return std::max(Backlog.Calls_ + Noise, 0.0);
}

} // namespace

double meanLatencyNs(const ServiceRecord &Service) {
  return Service.Latency_.Samples_ > 0
             ? Service.Latency_.MeanNs_
             : static_cast<double>(DefaultLatency.count());
}

double backlogNoiseWidth(const ServiceRecord &Service) {
  const double Members = static_cast<double>(Service.Members_.size());
  return NoiseWidth * std::sqrt(Service.MeanLoad_ * Service.Slots_ / Members);
}

BacklogEstimate backlogOf(const BalancerState &State,
                          const ServiceRecord &Service,
                          const ServerRecord &Server, model::TimePoint Now) {
  // The relaxation time must not grow with the latency: old reports would then
  // have the most weight just when queue lengths change the most.
  const ReportAging Aging{State.Preset_.Measuring_.ReportRelaxation_,
                          State.Preset_.Measuring_.ReportMaxAge_,
                          Service.ReportTrust_};
  return expectedBacklog(Server.Report_, Service.MeanLoad_ * Server.Slots_,
                         Server.InFlight_, Aging, Now);
}

double expectedWait(double Backlog, double Slots) {
  return FullServerWaitFactor * std::max(0.0, Backlog + 1 - Slots) / Slots;
}

bool wasHeardRecently(const ServerRecord &Server, model::TimePoint Now) {
  return Now - Server.Report_.HeardAt_ <= RecentAge;
}

bool isEligible(ServerHandle Handle, const AssessmentContext &Context) {
  const ServerRecord &Server = Context.State_.Servers_[Handle];
  if (Server.Draining_ || !isAllowedByEjectionState(Server, Context) ||
      !isHome(Context.State_, Context.Request_.Call_.Route_, Server) ||
      !isColdCallDue(Context.State_, Server, Context.Now_))
    return false;
  return !Context.ExcludeTried_ || !wasTried(Context.Request_.Call_, Handle);
}

Assessment assess(ServerHandle Handle, const AssessmentContext &Context) {
  const ServerRecord &Server = Context.State_.Servers_[Handle];
  if (!isEligible(Handle, Context))
    return {};
  const BacklogEstimate Backlog =
      backlogOf(Context.State_, Context.Service_, Server, Context.Now_);
  if (!isWithinCapacity(Backlog.Calls_, Server, Context))
    return {};
  if (!Context.NeedsCost_)
    return {true, 0};
  return {true,
          expectedCostNs(Server, randomizedBacklog(Backlog, Context), Context)};
}

} // namespace cumingauge::policy
