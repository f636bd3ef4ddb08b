// Prints how the traffic threads of a fleet share the servers of one service.
#include "policy/balancerstate.h"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

using namespace cumingauge;

namespace {

constexpr unsigned Threads = 2;

std::shared_ptr<const model::ConfigState> makeConfig(unsigned Servers) {
  auto Config = std::make_shared<model::ConfigState>();
  Config->Presets_["bench"].Name_ = "bench";
  Config->PresetInForce_ = "bench";
  for (unsigned I = 0; I < Servers; ++I) {
    const std::string Name = "server" + std::to_string(I);
    Config->Servers_[Name] = {Name,        "vm-" + Name, "catalogue",
                              "milano-a",  "127.0.0.1",  1000,
                              /*Slots_=*/3};
  }
  return Config;
}

template <class T> void printRange(const std::vector<T> &Values) {
  const auto [Least, Most] = std::minmax_element(Values.begin(), Values.end());
  std::printf(" %8.2f %8.2f", double(*Least), double(*Most));
}

void measure(unsigned Processes, unsigned Servers) {
  std::vector<unsigned> Connections(Servers);
  std::vector<double> Load(Servers); // 1 is even
  std::vector<std::size_t> Sizes;
  std::chrono::duration<double, std::micro> Spent{0};
  const double Even = double(Servers) / (Processes * Threads);
  const auto Config = makeConfig(Servers);
  for (unsigned I = 0; I < Processes * Threads; ++I) {
    auto View = std::make_shared<model::ControlView>();
    View->Config_ = Config;
    View->FleetSize_ = Processes;
    View->FleetRank_ = I / Threads;
    const auto State = policy::makeBalancer("milano-a", Threads, 1,
                                            /*Thread=*/I % Threads);
    policy::applyView(*State, View, {});
    const auto Start = std::chrono::steady_clock::now();
    policy::applyView(*State, View, {});
    Spent += std::chrono::steady_clock::now() - Start;
    const auto &Subset = State->Services_.front().Subset_;
    Sizes.push_back(Subset.size());
    for (const policy::ServerHandle Handle : Subset) {
      Connections[Handle] += policy::connectionShare(*State, Handle).Limit_;
      Load[Handle] += Even / double(Subset.size());
    }
  }
  std::printf("%9u %7u", Processes, Servers);
  printRange(Sizes);
  printRange(Connections);
  printRange(Load);
  std::printf(" %10.1f\n", Spent.count() / (Processes * Threads));
}

} // namespace

int main() {
  std::printf("Least and most; %u threads a process, limit %u connections\n",
              Threads, model::ServerLimits{}.MaxConnections_);
  std::printf("%9s %7s %17s %17s %17s %10s\n", "processes", "servers",
              "subset size", "connections", "load, 1 is even", "us a view");
  for (const unsigned Processes : {14u, 300u})
    for (const unsigned Servers : {13u, 23u, 64u, 1000u})
      measure(Processes, Servers);
  return 0;
}
