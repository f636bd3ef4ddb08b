#include "policy/choice.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

bool contains(const std::vector<ServerHandle> &Handles, ServerHandle Wanted) {
  return std::find(Handles.begin(), Handles.end(), Wanted) != Handles.end();
}

ServerHandle randomOf(BalancerState &State,
                      const std::vector<ServerHandle> &Candidates) {
  return Candidates[State.Random_(
      static_cast<std::uint32_t>(Candidates.size()))];
}

ServerHandle lessBusyOfTwo(BalancerState &State,
                           const std::vector<ServerHandle> &Candidates) {
  const ServerHandle First = randomOf(State, Candidates);
  const ServerHandle Second = randomOf(State, Candidates);
  return State.Servers_[Second].InFlight_ < State.Servers_[First].InFlight_
             ? Second
             : First;
}

ServerHandle nextInTurn(ServiceRecord &Service,
                        const std::vector<ServerHandle> &Candidates) {
  return Candidates[Service.NextInTurn_++ % Candidates.size()];
}

} // namespace

ServerHandle chooseServer(BalancerState &State, ServiceRecord &Service,
                          const std::vector<ServerHandle> &Tried) {
  if (Service.Members_.empty())
    return NoServer;
  std::vector<ServerHandle> Candidates;
  for (const ServerHandle Server : Service.Members_)
    if (!contains(Tried, Server))
      Candidates.push_back(Server);
  if (Candidates.empty())
    Candidates = Service.Members_;
  switch (State.Preset_.Pick_) {
  case model::PickMethod::Random:
    return randomOf(State, Candidates);
  case model::PickMethod::RoundRobin:
    return nextInTurn(Service, Candidates);
  case model::PickMethod::LeastInFlightOfTwo:
  case model::PickMethod::ExpectedWait:
    return lessBusyOfTwo(State, Candidates);
  }
  return NoServer;
}

} // namespace cumingauge::policy
