#include "policy/assessment.h"
#include "policy/limits.h"
#include <algorithm>
#include <cmath>

namespace cumingauge::policy {

namespace {

/// Cost of a server whose answers all fail, in usual latencies.
constexpr double FailureCost = 8;
/// Mean age of the own calls at a server, in usual latencies, from which on
/// it counts as slow before an answer proves it.
constexpr double SuspiciousAge = 2;
/// Cost of a full set of busy slots before any call waits, in usual
/// latencies: reports are old, so an idle server beats a nearly busy one.
constexpr double BusyCost = 0.5;
/// Age up to which a server's word on its load counts: a pace is redrawn
/// several times a second.
constexpr model::Duration HeardLately = model::milliseconds(60);
/// What a call waits at a full server, in times of what its queue alone
/// explains: other processes have seen the same report, and servers slow down
/// when they are full. Of the calls sent to a server with all slots busy, three
/// in four were late where the queue alone explained none.
constexpr double WaitAtFull = 3;
/// Cost of a server that did not answer a look, or was not looked at for
/// longer than HeardLately, in those of one that was heard of.
constexpr double SilentCost = 3;
/// A look tells of the moment only.
constexpr model::Duration LookLasts = model::milliseconds(30);
/// Width of the draw over an unknown backlog, in square roots of the usual
/// one.
constexpr double UnknownSpread = 2;
/// Part of the spread that is kept for a report that claims to be new.
constexpr double LeastUnknown = 0.2;
/// A thread within its share leaves a server out at this many times the
/// fleet's limit. Estimates are old: at the limit itself most servers are left
/// out in turn, and the calls herd on the rest.
constexpr double FullAllowance = 2;
constexpr std::uint32_t DrawRange = 1024;
constexpr model::Duration UnknownLatency = model::milliseconds(5);

bool wasTried(const CallFacts &Call, ServerHandle Server) {
  return std::find(Call.Tried_.begin(), Call.Tried_.end(), Server) !=
         Call.Tried_.end();
}

bool standingAllows(const ServerRecord &Server, const Comparison &With) {
  if (With.AllowEjected_ || Server.Outlier_.Standing_ == Standing::Good)
    return true;
  return Server.Outlier_.Standing_ == Standing::Probation &&
         Server.InFlight_ == 0 && With.Request_.Call_.Route_.Idempotent_;
}

bool capacityAllows(double Backlog, const ServerRecord &Server,
                    const Comparison &With) {
  const model::ServerLimits &Limits = With.State_.Preset_.Servers_;
  switch (With.Request_.Capacity_) {
  case Capacity::Any:
    return true;
  case Capacity::NotFull:
    return !isFull(Backlog, FullAllowance * Server.Slots_, Limits);
  case Capacity::Room:
    return !isFull(Backlog, Server.Slots_, Limits);
  case Capacity::FreeSlot:
    return hasFreeSlot(Backlog, Server.Slots_);
  }
  return false;
}

/// Answers seen so far, or calls that are out for long without one.
double slownessOf(const ServerRecord &Server, const Comparison &With) {
  const double Seen = currentSlowness(Server.Slowness_, With.Now_);
  if (Server.InFlight_ == 0)
    return Seen;
  const double MeanAgeNs = static_cast<double>(
      With.Now_.time_since_epoch().count() -
      Server.SentAtSum_ / static_cast<long long>(Server.InFlight_));
  return std::max(Seen, MeanAgeNs / With.UsualNs_ / SuspiciousAge);
}

/// Pace as reported, with less weight the longer ago that was.
double paceOf(const ServerRecord &Server, const Comparison &With) {
  const model::Duration Fade = With.State_.Preset_.Measuring_.PaceRelaxation_;
  const auto Age =
      static_cast<double>((With.Now_ - Server.Report_.TrueAt_).count());
  const double Weight =
      std::exp(-Age / std::max<double>(static_cast<double>(Fade.count()), 1));
  return 1 + (Server.Pace_ - 1) * Weight;
}

/// Where servers are looked at, one that was not heard of may be full.
bool isSilent(const ServerRecord &Server, const Comparison &With) {
  if (With.State_.Preset_.Measuring_.LookWidth_ == 0)
    return false;
  const bool LeftALook = Server.LookedAt_ > Server.Report_.HeardAt_ &&
                         With.Now_ - Server.LookedAt_ < LookLasts;
  return LeftALook || !wasHeardLately(Server, With.Now_);
}

double costOf(const ServerRecord &Server, double Backlog,
              const Comparison &With) {
  const model::Preset &Preset = With.State_.Preset_;
  const double Ramp =
      rampFactor(Server, Preset.Ejection_.SlowStart_, With.Now_);
  const double Slots = std::max(1.0, Server.Slots_ * Ramp);
  const double Failing =
      Server.Outlier_.Standing_ == Standing::Good
          ? FailureCost * recentFailureShare(Server.Outlier_, With.Now_)
          : 0;
  const double Latencies =
      1 + expectedWait(Backlog, Slots) + BusyCost * Backlog / Slots + Failing;
  const double ZoneNs =
      Server.SameZone_
          ? 0
          : static_cast<double>(model::Duration(Preset.ZoneCost_).count());
  const double Silence = isSilent(Server, With) ? SilentCost : 1;
  return With.UsualNs_ * Latencies * slownessOf(Server, With) *
             paceOf(Server, With) * Silence +
         ZoneNs;
}

/// A draw from what the backlog may be. Processes that know the same old
/// figures then choose different servers.
double plausibleBacklog(const BacklogEstimate &Backlog,
                        const Comparison &With) {
  const double Unknown =
      std::sqrt(Backlog.Weight_) * std::max(1 - Backlog.Weight_, LeastUnknown);
  const double Draw = With.Random_(DrawRange) / double(DrawRange) - 0.5;
  const double Noise = With.SpreadCalls_ * Unknown * Draw;
  return std::max(Backlog.Calls_ + Noise, 0.0);
}

} // namespace

double usualLatency(const ServiceRecord &Service) {
  return Service.Latency_.Samples_ > 0
             ? Service.Latency_.MeanNs_
             : static_cast<double>(UnknownLatency.count());
}

double unknownSpread(const ServiceRecord &Service) {
  const double Members = static_cast<double>(Service.Members_.size());
  return UnknownSpread *
         std::sqrt(Service.UsualLoad_ * Service.Slots_ / Members);
}

BacklogEstimate backlogOf(const BalancerState &State,
                          const ServiceRecord &Service,
                          const ServerRecord &Server, model::TimePoint Now) {
  // The relaxation must not grow with the latency: then old reports would
  // count most just when queues swing.
  const ReportAging Aging{State.Preset_.Measuring_.ReportRelaxation_,
                          State.Preset_.Measuring_.ReportMaxAge_,
                          Service.ReportTrust_};
  return expectedBacklog(Server.Report_, Service.UsualLoad_ * Server.Slots_,
                         Server.InFlight_, Aging, Now);
}

double expectedWait(double Backlog, double Slots) {
  return WaitAtFull * std::max(0.0, Backlog + 1 - Slots) / Slots;
}

bool wasHeardLately(const ServerRecord &Server, model::TimePoint Now) {
  return Now - Server.Report_.HeardAt_ <= HeardLately;
}

bool mayTake(ServerHandle Handle, const Comparison &With) {
  const ServerRecord &Server = With.State_.Servers_[Handle];
  if (Server.Draining_ || !standingAllows(Server, With))
    return false;
  return !With.ExcludeTried_ || !wasTried(With.Request_.Call_, Handle);
}

Assessment assess(ServerHandle Handle, const Comparison &With) {
  const ServerRecord &Server = With.State_.Servers_[Handle];
  if (!mayTake(Handle, With))
    return {};
  const BacklogEstimate Backlog =
      backlogOf(With.State_, With.Service_, Server, With.Now_);
  if (!capacityAllows(Backlog.Calls_, Server, With))
    return {};
  if (!With.NeedsCost_)
    return {true, 0};
  return {true, costOf(Server, plausibleBacklog(Backlog, With), With)};
}

} // namespace cumingauge::policy
