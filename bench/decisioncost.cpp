#include "policy/balancer.h"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

using namespace cumingauge;

namespace {

constexpr unsigned Rounds = 9;
constexpr unsigned CallsPerRound = 20000;
constexpr unsigned InFlight = 8;

struct Fleet {
  std::shared_ptr<policy::BalancerState> State_;
  policy::CallFacts Call_;
};

Fleet makeFleet(unsigned Servers, model::PickMethod Pick) {
  model::Preset Preset;
  Preset.Name_ = "bench";
  Preset.Pick_ = Pick;
  auto Config = std::make_shared<model::ConfigState>();
  Config->Presets_["bench"] = Preset;
  Config->PresetInForce_ = "bench";
  for (unsigned I = 0; I < Servers; ++I) {
    const std::string Name = "server" + std::to_string(I);
    Config->Servers_[Name] = {Name,        "vm-" + Name, "catalogue",
                              "milano-a",  "127.0.0.1",  1000,
                              /*Slots_=*/3};
  }
  auto View = std::make_shared<model::ControlView>();
  View->Config_ = Config;
  Fleet Out{policy::makeBalancer("milano-a", 1, 1, 0), {}};
  policy::applyView(*Out.State_, View, model::TimePoint(model::seconds(1)));
  Out.Call_.Caller_ = "studio";
  Out.Call_.Route_ = {
      "search", "/catalogue/search",     "catalogue",
      true,     model::Priority::Urgent, model::milliseconds(300),
      4096};
  return Out;
}

/// Returns the mean time in ns of one decision, including the end of an attempt
/// and the report that comes with its answer.
double timeRound(Fleet &Fleet, model::TimePoint &Now) {
  std::vector<policy::ServerHandle> Running;
  const auto Start = std::chrono::steady_clock::now();
  for (unsigned I = 0; I < CallsPerRound; ++I) {
    Now += model::microseconds(100);
    Fleet.Call_.Call_ = I;
    Fleet.Call_.Arrived_ = Now;
    Fleet.Call_.Deadline_ = Now + model::milliseconds(300);
    const policy::Decision Made =
        policy::admit(*Fleet.State_, Fleet.Call_, Now);
    if (Made.Verdict_ != policy::Verdict::Dispatch)
      continue;
    Running.push_back(Made.Server_);
    if (Running.size() < InFlight)
      continue;
    const policy::ServerHandle Ended = Running[I % InFlight];
    Running.erase(Running.begin() + I % InFlight);
    model::LoadReport Report;
    Report.InFlight_ = I % 4;
    Report.Slots_ = 3;
    policy::recordReport(*Fleet.State_, Ended, Report, Now);
    policy::endAttempt(*Fleet.State_, Fleet.Call_, Ended,
                       policy::AttemptEnd::Answered, model::microseconds(800),
                       Now);
  }
  const auto Spent = std::chrono::steady_clock::now() - Start;
  for (const policy::ServerHandle Server : Running)
    policy::endAttempt(*Fleet.State_, Fleet.Call_, Server,
                       policy::AttemptEnd::Answered, model::microseconds(800),
                       Now);
  return std::chrono::duration<double, std::nano>(Spent).count() /
         CallsPerRound;
}

double medianRound(unsigned Servers, model::PickMethod Pick) {
  Fleet Fleet = makeFleet(Servers, Pick);
  model::TimePoint Now{model::seconds(10)};
  std::vector<double> Times;
  for (unsigned Round = 0; Round < Rounds; ++Round)
    Times.push_back(timeRound(Fleet, Now));
  std::nth_element(Times.begin(), Times.begin() + Rounds / 2, Times.end());
  return Times[Rounds / 2];
}

} // namespace

/// Prints the cost of a decision, including its end and report, by method and
/// number of servers.
int main() {
  using model::PickMethod;
  std::printf(
      "servers  random  round-robin  least-of-two  expected-wait (ns)\n");
  for (const unsigned Servers : {2u, 14u, 64u, 200u, 1000u})
    std::printf("%7u %7.0f %12.0f %13.0f %14.0f\n", Servers,
                medianRound(Servers, PickMethod::Random),
                medianRound(Servers, PickMethod::RoundRobin),
                medianRound(Servers, PickMethod::LeastInFlightOfTwo),
                medianRound(Servers, PickMethod::ExpectedWait));
  return 0;
}
