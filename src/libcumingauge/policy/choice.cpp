#include "policy/choice.h"
#include "policy/assessment.h"
#include <algorithm>
#include <limits>

namespace cumingauge::policy {

namespace {

/// Services with up to this many servers are compared whole, larger ones by a
/// random sample.
constexpr std::size_t MaxFullComparison = 16;
constexpr unsigned SampleSize = 8;
/// Returns a random number from 0 to \p Below - 1.
std::uint32_t randomBelow(BalancerState &State, std::size_t Below) {
  return State.Random_(static_cast<std::uint32_t>(Below));
}

/// Cheapest usable server among those rated so far.
struct Cheapest {
  ServerHandle Server_ = NoServer;
  double CostNs_ = std::numeric_limits<double>::infinity();
};

/// Rates a server and stores it as the best when it is usable and cheaper.
void updateCheapest(ServerHandle Handle, const AssessmentContext &Context,
                    Cheapest &Best) {
  const Assessment Found = assess(Handle, Context);
  if (Found.Usable_ && Found.CostNs_ < Best.CostNs_)
    Best = {Handle, Found.CostNs_};
}

/// Returns the cheapest usable server. Starts at a random position so that
/// servers of equal cost are chosen equally often.
ServerHandle cheapestOfAll(BalancerState &State,
                           const AssessmentContext &Context,
                           const std::vector<ServerHandle> &Pool) {
  const std::size_t First = randomBelow(State, Pool.size());
  Cheapest Best;
  for (std::size_t I = First; I < Pool.size(); ++I)
    updateCheapest(Pool[I], Context, Best);
  for (std::size_t I = 0; I < First; ++I)
    updateCheapest(Pool[I], Context, Best);
  return Best.Server_;
}

/// Returns the cheapest usable server of a random sample.
ServerHandle cheapestOfSample(BalancerState &State,
                              const AssessmentContext &Context,
                              const std::vector<ServerHandle> &Pool) {
  Cheapest Best;
  for (unsigned I = 0; I < SampleSize; ++I)
    updateCheapest(Pool[randomBelow(State, Pool.size())], Context, Best);
  return Best.Server_;
}

/// Returns a usable server, starting at a random position; all are equally
/// likely when all are usable.
ServerHandle randomUsable(BalancerState &State,
                          const AssessmentContext &Context,
                          const std::vector<ServerHandle> &Pool,
                          ServerHandle Except = NoServer) {
  constexpr unsigned Tries = 8;
  for (unsigned I = 0; I < Tries; ++I) {
    const ServerHandle Handle = Pool[randomBelow(State, Pool.size())];
    if (Handle != Except && assess(Handle, Context).Usable_)
      return Handle;
  }
  const std::size_t First = randomBelow(State, Pool.size());
  for (std::size_t I = 0; I < Pool.size(); ++I) {
    const ServerHandle Handle = Pool[(First + I) % Pool.size()];
    if (Handle != Except && assess(Handle, Context).Usable_)
      return Handle;
  }
  return NoServer;
}

/// Returns the one of two random usable servers that has fewer calls of this
/// thread in flight.
ServerHandle lessBusyOfTwo(BalancerState &State,
                           const AssessmentContext &Context,
                           const std::vector<ServerHandle> &Pool) {
  const ServerHandle First = randomUsable(State, Context, Pool);
  if (First == NoServer)
    return NoServer;
  const ServerHandle Second = randomUsable(State, Context, Pool, First);
  if (Second == NoServer)
    return First;
  return State.Servers_[Second].InFlight_ < State.Servers_[First].InFlight_
             ? Second
             : First;
}

/// Returns the next usable server in round-robin order.
ServerHandle nextRoundRobin(ServiceRecord &Service,
                            const AssessmentContext &Context,
                            const std::vector<ServerHandle> &Pool) {
  for (std::size_t I = 0; I < Pool.size(); ++I) {
    const ServerHandle Handle =
        Pool[Service.RoundRobinPosition_++ % Pool.size()];
    if (assess(Handle, Context).Usable_)
      return Handle;
  }
  return NoServer;
}

/// Chooses a server of the subset by the preset's method.
ServerHandle chooseByMethod(BalancerState &State, ServiceRecord &Service,
                            const AssessmentContext &Context) {
  const std::vector<ServerHandle> &Pool = Service.Subset_;
  switch (State.Preset_.Pick_) {
  case model::PickMethod::Random:
    return randomUsable(State, Context, Pool);
  case model::PickMethod::RoundRobin:
    return nextRoundRobin(Service, Context, Pool);
  case model::PickMethod::LeastInFlightOfTwo:
    return lessBusyOfTwo(State, Context, Pool);
  case model::PickMethod::ExpectedWait:
    return Pool.size() <= MaxFullComparison
               ? cheapestOfAll(State, Context, Pool)
               : cheapestOfSample(State, Context, Pool);
  }
  return NoServer;
}

/// Returns whether every server of the service is ejected, on probation or
/// draining.
bool allEjected(const BalancerState &State, const ServiceRecord &Service) {
  return std::all_of(Service.Members_.begin(), Service.Members_.end(),
                     [&](ServerHandle Handle) {
                       const ServerRecord &Server = State.Servers_[Handle];
                       return Server.Draining_ ||
                              Server.Outlier_.EjectionState_ !=
                                  EjectionState::Healthy;
                     });
}

/// Returns whether servers outside the subset may be used after none of the
/// subset was found. Where the subset holds the fleet within the connection
/// limit, a subset that is merely full is no reason to leave it: most services
/// are then full everywhere, and every thread would connect to every server.
bool canLeaveSubset(const BalancerState &State, const ServiceRecord &Service,
                    const AssessmentContext &Context) {
  if (State.FleetThreads_ <=
      model::maxConnections(State.Preset_, Service.Name_))
    return true;
  return std::none_of(
      Service.Subset_.begin(), Service.Subset_.end(),
      [&](ServerHandle Handle) { return isEligible(Handle, Context); });
}

/// Returns the cheapest server of the subset, or of all servers when the subset
/// may be left.
ServerHandle cheapestOfSubsetOrAll(BalancerState &State,
                                   const ServiceRecord &Service,
                                   const AssessmentContext &Context) {
  if (canLeaveSubset(State, Service, Context))
    return cheapestOfAll(State, Context, Service.Members_);
  return cheapestOfAll(State, Context, Service.Subset_);
}

ChoiceReason reasonFor(const BalancerState &State, ServerHandle Server) {
  return State.Servers_[Server].Outlier_.EjectionState_ ==
                 EjectionState::Probation
             ? ChoiceReason::OnProbation
             : ChoiceReason::ByMethod;
}

} // namespace

Choice chooseServer(BalancerState &State, ServiceRecord &Service,
                    const ChoiceRequest &Request, model::TimePoint Now) {
  if (Service.Members_.empty())
    return {};
  AssessmentContext Context{State,
                            State.Random_,
                            Service,
                            Request,
                            Now,
                            meanLatencyNs(Service),
                            backlogNoiseWidth(Service),
                            State.Preset_.Pick_ ==
                                model::PickMethod::ExpectedWait};
  ServerHandle Found = chooseByMethod(State, Service, Context);
  if (Found == NoServer)
    Found = cheapestOfSubsetOrAll(State, Service, Context);
  if (Found != NoServer)
    return {Found, reasonFor(State, Found)};
  if (Request.AllowTried_ && !Request.Call_.Tried_.empty()) {
    Context.ExcludeTried_ = false;
    Found = cheapestOfSubsetOrAll(State, Service, Context);
    if (Found != NoServer)
      return {Found, ChoiceReason::TriedBefore};
  }
  if (Service.Ejected_ == 0 || !allEjected(State, Service))
    return {};
  Context.AllowEjected_ = true;
  return {cheapestOfAll(State, Context, Service.Members_),
          ChoiceReason::LastResort};
}

void updateEjectionStates(BalancerState &State, ServiceRecord &Service,
                          model::TimePoint Now) {
  if (Service.Ejected_ == 0)
    return;
  for (const ServerHandle Handle : Service.Members_)
    updateEjectionState(State.Servers_[Handle].Outlier_,
                        State.Preset_.Ejection_, Now);
}

} // namespace cumingauge::policy
