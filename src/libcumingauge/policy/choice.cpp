#include "policy/choice.h"
#include "policy/assessment.h"
#include <algorithm>
#include <limits>

namespace cumingauge::policy {

namespace {

/// Services up to this size are compared whole, larger ones by a sample.
constexpr std::size_t CompareAllUpTo = 16;
constexpr unsigned SampleSize = 8;
std::uint32_t draw(BalancerState &State, std::size_t Below) {
  return State.Random_(static_cast<std::uint32_t>(Below));
}

/// The cheapest usable server among those looked at.
struct Cheapest {
  ServerHandle Server_ = NoServer;
  double CostNs_ = std::numeric_limits<double>::infinity();
};

void consider(ServerHandle Handle, const Comparison &With, Cheapest &Best) {
  const Assessment Found = assess(Handle, With);
  if (Found.Usable_ && Found.CostNs_ < Best.CostNs_)
    Best = {Handle, Found.CostNs_};
}

/// Compares all servers, from a random place on so that ties are even.
ServerHandle cheapestOfAll(BalancerState &State, const Comparison &With,
                           const std::vector<ServerHandle> &Pool) {
  const std::size_t First = draw(State, Pool.size());
  Cheapest Best;
  for (std::size_t I = First; I < Pool.size(); ++I)
    consider(Pool[I], With, Best);
  for (std::size_t I = 0; I < First; ++I)
    consider(Pool[I], With, Best);
  return Best.Server_;
}

ServerHandle cheapestOfSample(BalancerState &State, const Comparison &With,
                              const std::vector<ServerHandle> &Pool) {
  Cheapest Best;
  for (unsigned I = 0; I < SampleSize; ++I)
    consider(Pool[draw(State, Pool.size())], With, Best);
  return Best.Server_;
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
    return Pool.size() <= CompareAllUpTo ? cheapestOfAll(State, With, Pool)
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

/// Whether all servers may be tried after none of the subset was found. Where
/// the subset is what keeps the fleet within the connection limit, a subset
/// that is merely full is no reason to leave it: then most services are full
/// all over, and every thread would connect to every server.
bool mayLeaveSubset(const BalancerState &State, const ServiceRecord &Service,
                    const Comparison &With) {
  if (State.Deciders_ <= State.Preset_.Servers_.MaxConnections_)
    return true;
  return std::none_of(
      Service.Subset_.begin(), Service.Subset_.end(),
      [&](ServerHandle Handle) { return mayTake(Handle, With); });
}

/// Looks at every server of the subset, then at those outside it.
ServerHandle cheapestAnywhere(BalancerState &State,
                              const ServiceRecord &Service,
                              const Comparison &With) {
  if (mayLeaveSubset(State, Service, With))
    return cheapestOfAll(State, With, Service.Members_);
  return cheapestOfAll(State, With, Service.Subset_);
}

ChoiceReason reasonFor(const BalancerState &State, ServerHandle Server) {
  return State.Servers_[Server].Outlier_.Standing_ == Standing::Probation
             ? ChoiceReason::OnProbation
             : ChoiceReason::ByMethod;
}

} // namespace

Choice chooseServer(BalancerState &State, ServiceRecord &Service,
                    const ChoiceRequest &Request, model::TimePoint Now) {
  if (Service.Members_.empty())
    return {};
  Comparison With{State,
                  State.Random_,
                  Service,
                  Request,
                  Now,
                  usualLatency(Service),
                  unknownSpread(Service),
                  State.Preset_.Pick_ == model::PickMethod::ExpectedWait};
  ServerHandle Found = byMethod(State, Service, With);
  if (Found == NoServer)
    Found = cheapestAnywhere(State, Service, With);
  if (Found != NoServer)
    return {Found, reasonFor(State, Found)};
  if (Request.MayRepeat_ && !Request.Call_.Tried_.empty()) {
    With.ExcludeTried_ = false;
    Found = cheapestAnywhere(State, Service, With);
    if (Found != NoServer)
      return {Found, ChoiceReason::TriedBefore};
  }
  if (Service.Ejected_ == 0 || !allEjected(State, Service))
    return {};
  With.AllowEjected_ = true;
  return {cheapestOfAll(State, With, Service.Members_),
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
