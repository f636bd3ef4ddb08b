#include "policy/balancer.h"
#include "policy/balancerstate.h"
#include <chrono>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace cumingauge;

/// Measures the cost of applying a further view on a traffic thread, and the
/// memory of its balancer, by the size of the configuration. Prints one JSON
/// line for each size.
namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned Processes = 120;
constexpr unsigned ThreadsPerProcess = 2;
constexpr unsigned ServersPerService = 23;
constexpr unsigned Rounds = 20;

std::uint64_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::shared_ptr<model::ConfigState> makeConfig(unsigned Servers) {
  auto Config = std::make_shared<model::ConfigState>();
  Config->Presets_["ordinary"].Name_ = "ordinary";
  Config->PresetInForce_ = "ordinary";
  for (unsigned I = 0; I < Servers; ++I) {
    const std::string Name = "server-" + std::to_string(I);
    Config->Servers_[Name] = {Name,
                              "vm-" + std::to_string(I),
                              "service-" +
                                  std::to_string(I / ServersPerService),
                              "zone-" + std::to_string(I % 9),
                              "127.0.0.1",
                              9000,
                              3};
  }
  return Config;
}

std::shared_ptr<model::ControlView>
makeView(std::shared_ptr<const model::ConfigState> Config) {
  auto View = std::make_shared<model::ControlView>();
  View->Config_ = std::move(Config);
  View->FleetSize_ = Processes;
  View->ProberCount_ = Processes;
  return View;
}

void measure(unsigned Servers) {
  const auto Config = makeConfig(Servers);
  const std::uint64_t Before = residentBytes();
  const auto State = policy::makeBalancer("zone-0", ThreadsPerProcess, 1, 0u);
  model::TimePoint Now{std::chrono::hours(1)};
  policy::applyView(*State, makeView(Config), Now);
  const std::uint64_t After = residentBytes();
  Clock::duration Total{};
  for (unsigned I = 0; I < Rounds; ++I) {
    // Each change marks one server as leaving or removes the mark.
    auto Next = std::make_shared<model::ConfigState>(*Config);
    auto View = makeView(Next);
    if (I % 2 == 0)
      View->LeavingServers_.insert("server-0");
    Now += model::seconds(1);
    const auto Begin = Clock::now();
    policy::applyView(*State, View, Now);
    Total += Clock::now() - Begin;
  }
  const double Micros =
      std::chrono::duration<double, std::micro>(Total).count() / Rounds;
  std::printf("{\"servers\":%u,\"view_us\":%.1f,\"balancer_bytes\":%llu}\n",
              Servers, Micros, static_cast<unsigned long long>(After - Before));
}

} // namespace

int main() {
  for (const unsigned Servers : {27u, 270u, 2700u, 19000u})
    measure(Servers);
}
