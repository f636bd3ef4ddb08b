#include "policy/choice.h"
#include "policy/limits.h"
#include <algorithm>
#include <limits>

namespace cumingauge::policy {

namespace {

/// Services up to this size are compared whole, larger ones by a sample.
constexpr std::size_t CompareAllUpTo = 16;
constexpr unsigned SampleSize = 8;
/// Cost of a server whose answers all fail, in usual latencies.
constexpr double FailureCost = 8;
/// Cost of a full set of busy slots before any call waits, in usual
/// latencies: reports are old, so an idle server beats a nearly busy one.
constexpr double BusyCost = 0.5;
/// A report loses most of its weight in this many usual latencies.
constexpr double RelaxationLatencies = 2;
constexpr model::Duration UnknownLatency = model::milliseconds(5);

struct Assessment {
  bool Usable_ = false;
  double CostNs_ = std::numeric_limits<double>::infinity();
};

/// The figures that are the same for all servers of one choice.
struct Comparison {
  const BalancerState &State_;
  const ServiceRecord &Service_;
  const ChoiceRequest &Request_;
  model::TimePoint Now_;
  double UsualNs_;
  bool ExcludeTried_ = true;
  bool AllowEjected_ = false;
};

double usualLatency(const ServiceRecord &Service) {
  return Service.Latency_.Samples_ > 0
             ? Service.Latency_.MeanNs_
             : static_cast<double>(UnknownLatency.count());
}

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
  switch (With.Request_.Capacity_) {
  case Capacity::Any:
    return true;
  case Capacity::NotFull:
    return !isFull(Backlog, Server.Slots_, With.State_.Preset_.Servers_);
  case Capacity::FreeSlot:
    return hasFreeSlot(Backlog, Server.Slots_);
  }
  return false;
}

double costOf(const ServerRecord &Server, double Backlog,
              const Comparison &With) {
  const model::Preset &Preset = With.State_.Preset_;
  const double Ramp =
      rampFactor(Server, Preset.Ejection_.SlowStart_, With.Now_);
  const double Slots = std::max(1.0, Server.Slots_ * Ramp);
  const double Wait = std::max(0.0, Backlog + 1 - Slots) / Slots;
  const double Failing =
      Server.Outlier_.Standing_ == Standing::Good
          ? FailureCost * recentFailureShare(Server.Outlier_, With.Now_)
          : 0;
  const double Latencies = 1 + Wait + BusyCost * Backlog / Slots + Failing;
  const double ZoneNs =
      Server.SameZone_
          ? 0
          : static_cast<double>(model::Duration(Preset.ZoneCost_).count());
  return With.UsualNs_ * Latencies *
             currentSlowness(Server.Slowness_, With.Now_) +
         ZoneNs;
}

Assessment assess(ServerHandle Handle, const Comparison &With) {
  const ServerRecord &Server = With.State_.Servers_[Handle];
  if (Server.Draining_ || !standingAllows(Server, With))
    return {};
  if (With.ExcludeTried_ && wasTried(With.Request_.Call_, Handle))
    return {};
  const double Backlog =
      backlogOf(With.State_, With.Service_, Server, With.Now_);
  if (!capacityAllows(Backlog, Server, With))
    return {};
  return {true, costOf(Server, Backlog, With)};
}

std::uint32_t draw(BalancerState &State, std::size_t Below) {
  return State.Random_(static_cast<std::uint32_t>(Below));
}

/// Compares \p Count servers from a random place on.
ServerHandle cheapestFrom(BalancerState &State, const Comparison &With,
                          const std::vector<ServerHandle> &Pool) {
  const std::size_t First = draw(State, Pool.size());
  ServerHandle Best = NoServer;
  double Least = std::numeric_limits<double>::infinity();
  for (std::size_t I = 0; I < Pool.size(); ++I) {
    const std::size_t Place = First + I;
    const ServerHandle Handle =
        Pool[Place < Pool.size() ? Place : Place - Pool.size()];
    const Assessment Found = assess(Handle, With);
    if (!Found.Usable_ || Found.CostNs_ >= Least)
      continue;
    Least = Found.CostNs_;
    Best = Handle;
  }
  return Best;
}

ServerHandle cheapestOfSample(BalancerState &State, const Comparison &With,
                              const std::vector<ServerHandle> &Pool) {
  ServerHandle Best = NoServer;
  double Least = std::numeric_limits<double>::infinity();
  for (unsigned I = 0; I < SampleSize; ++I) {
    const ServerHandle Handle = Pool[draw(State, Pool.size())];
    const Assessment Found = assess(Handle, With);
    if (!Found.Usable_ || Found.CostNs_ >= Least)
      continue;
    Least = Found.CostNs_;
    Best = Handle;
  }
  return Best;
}

/// A usable server from a random place on; each is as likely as the next when
/// all are usable.
ServerHandle anyUsable(BalancerState &State, const Comparison &With,
                       const std::vector<ServerHandle> &Pool,
                       ServerHandle Except = NoServer) {
  constexpr unsigned Tries = 8;
  for (unsigned I = 0; I < Tries; ++I) {
    const ServerHandle Handle = Pool[draw(State, Pool.size())];
    if (Handle != Except && assess(Handle, With).Usable_)
      return Handle;
  }
  const std::size_t First = draw(State, Pool.size());
  for (std::size_t I = 0; I < Pool.size(); ++I) {
    const ServerHandle Handle = Pool[(First + I) % Pool.size()];
    if (Handle != Except && assess(Handle, With).Usable_)
      return Handle;
  }
  return NoServer;
}

ServerHandle lessBusyOfTwo(BalancerState &State, const Comparison &With,
                           const std::vector<ServerHandle> &Pool) {
  const ServerHandle First = anyUsable(State, With, Pool);
  if (First == NoServer)
    return NoServer;
  const ServerHandle Second = anyUsable(State, With, Pool, First);
  if (Second == NoServer)
    return First;
  return State.Servers_[Second].InFlight_ < State.Servers_[First].InFlight_
             ? Second
             : First;
}

ServerHandle nextInTurn(ServiceRecord &Service, const Comparison &With,
                        const std::vector<ServerHandle> &Pool) {
  for (std::size_t I = 0; I < Pool.size(); ++I) {
    const ServerHandle Handle = Pool[Service.NextInTurn_++ % Pool.size()];
    if (assess(Handle, With).Usable_)
      return Handle;
  }
  return NoServer;
}

ServerHandle byMethod(BalancerState &State, ServiceRecord &Service,
                      const Comparison &With) {
  const std::vector<ServerHandle> &Pool = Service.Subset_;
  switch (State.Preset_.Pick_) {
  case model::PickMethod::Random:
    return anyUsable(State, With, Pool);
  case model::PickMethod::RoundRobin:
    return nextInTurn(Service, With, Pool);
  case model::PickMethod::LeastInFlightOfTwo:
    return lessBusyOfTwo(State, With, Pool);
  case model::PickMethod::ExpectedWait:
    return Pool.size() <= CompareAllUpTo ? cheapestFrom(State, With, Pool)
                                         : cheapestOfSample(State, With, Pool);
  }
  return NoServer;
}

bool allEjected(const BalancerState &State, const ServiceRecord &Service) {
  return std::all_of(Service.Members_.begin(), Service.Members_.end(),
                     [&](ServerHandle Handle) {
                       const ServerRecord &Server = State.Servers_[Handle];
                       return Server.Draining_ ||
                              Server.Outlier_.Standing_ != Standing::Good;
                     });
}

ChoiceReason reasonFor(const BalancerState &State, ServerHandle Server) {
  return State.Servers_[Server].Outlier_.Standing_ == Standing::Probation
             ? ChoiceReason::OnProbation
             : ChoiceReason::ByMethod;
}

} // namespace

double backlogOf(const BalancerState &State, const ServiceRecord &Service,
                 const ServerRecord &Server, model::TimePoint Now) {
  const ReportAging Aging{model::Duration(static_cast<long long>(
                              RelaxationLatencies * usualLatency(Service))),
                          State.Preset_.Measuring_.ReportMaxAge_};
  return expectedBacklog(Server.Report_, Service.UsualLoad_ * Server.Slots_,
                         Server.InFlight_, Aging, Now);
}

Choice chooseServer(BalancerState &State, ServiceRecord &Service,
                    const ChoiceRequest &Request, model::TimePoint Now) {
  if (Service.Members_.empty())
    return {};
  Comparison With{State, Service, Request, Now, usualLatency(Service)};
  ServerHandle Found = byMethod(State, Service, With);
  if (Found == NoServer)
    Found = cheapestFrom(State, With, Service.Members_);
  if (Found != NoServer)
    return {Found, reasonFor(State, Found)};
  if (Request.MayRepeat_ && !Request.Call_.Tried_.empty()) {
    With.ExcludeTried_ = false;
    Found = cheapestFrom(State, With, Service.Members_);
    if (Found != NoServer)
      return {Found, ChoiceReason::TriedBefore};
  }
  if (Service.Ejected_ == 0 || !allEjected(State, Service))
    return {};
  With.AllowEjected_ = true;
  return {cheapestFrom(State, With, Service.Members_),
          ChoiceReason::LastResort};
}

void refreshStandings(BalancerState &State, ServiceRecord &Service,
                      model::TimePoint Now) {
  if (Service.Ejected_ == 0)
    return;
  for (const ServerHandle Handle : Service.Members_)
    refreshStanding(State.Servers_[Handle].Outlier_, State.Preset_.Ejection_,
                    Now);
}

} // namespace cumingauge::policy
