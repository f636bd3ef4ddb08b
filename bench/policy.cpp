#include "policysim/deployments.h"
#include "policysim/run.h"
#include <atomic>
#include <cstdio>
#include <cstring>
#include <mutex>
#include <thread>

using namespace cumingauge::bench;

namespace {

constexpr unsigned Workers = 3;

struct Options {
  std::vector<double> Loads_{0.5, 0.8, 1.0, 1.3, 2.0};
  unsigned Seeds_ = 3;
  double Seconds_ = 10;
  std::string Disturbances_; ///< comma-separated; empty for all
  std::string Arms_;         ///< comma-separated; empty for all
  std::string Deployment_;   ///< empty for both
};

/// Returns whether \p List is empty or names \p Name.
bool isWanted(const std::string &List, const std::string &Name) {
  return List.empty() ||
         ("," + List + ",").find("," + Name + ",") != std::string::npos;
}

Options readOptions(int Argc, char **Argv) {
  Options Out;
  for (int I = 1; I < Argc; ++I) {
    const std::string Argument = Argv[I];
    const std::string Value = Argument.substr(Argument.find('=') + 1);
    if (Argument == "--quick") {
      Out.Loads_ = {0.8, 2.0};
      Out.Seeds_ = 1;
      Out.Seconds_ = 6;
    } else if (Argument.rfind("--load=", 0) == 0) {
      Out.Loads_ = {std::stod(Value)};
    } else if (Argument.rfind("--seeds=", 0) == 0) {
      Out.Seeds_ = static_cast<unsigned>(std::stoul(Value));
    } else if (Argument.rfind("--seconds=", 0) == 0) {
      Out.Seconds_ = std::stod(Value);
    } else if (Argument.rfind("--disturbance=", 0) == 0) {
      Out.Disturbances_ = Value;
    } else if (Argument.rfind("--arm=", 0) == 0) {
      Out.Arms_ = Value;
    } else if (Argument.rfind("--deployment=", 0) == 0) {
      Out.Deployment_ = Value;
    } else {
      std::fprintf(stderr, "unknown option %s\n", Argument.c_str());
      std::exit(2);
    }
  }
  return Out;
}

void print(const Cell &Cell, const Arm &Arm, const Outcome &Result) {
  std::printf(
      "{\"deployment\":\"%s\",\"disturbance\":\"%s\",\"load\":%.1f,"
      "\"seed\":%u,\"arm\":\"%s\",\"p50_ms\":%.2f,\"p99_ms\":%.2f,"
      "\"p999_ms\":%.2f,\"others_p99_ms\":%.2f,\"patient_p99_ms\":%.1f,"
      "\"goodput\":%.4f,\"urgent_ok\":%.5f,\"not_run\":%.4f,\"extra\":%.4f,"
      "\"retries\":%.4f,\"probes_per_s\":%.1f,\"max_probes_in_s\":%.0f,"
      "\"refusal_late_ms\":%.1f,\"doubled\":%u,\"cold_crashes\":%u,"
      "\"cold_in_s\":%u}\n",
      Cell.Deployment_.Name_.c_str(),
      DisturbanceNames[static_cast<std::size_t>(Cell.Disturbance_)], Cell.Load_,
      Cell.Seed_, Arm.Name_.c_str(), Result.P50Ms_, Result.P99Ms_,
      Result.P999Ms_, Result.OthersP99Ms_, Result.PatientP99Ms_,
      Result.GoodputShare_, Result.UrgentOk_, Result.NotRunShare_,
      Result.ExtraWork_, Result.RetryShare_, Result.ProbesPerSecond_,
      Result.MaxProbesInASecond_, Result.RefusalMs_, Result.RanTwice_,
      Result.ColdCrashes_, Result.MostColdCallsInASecond_);
}

std::vector<std::pair<Cell, Arm>> makePlan(const Options &Wanted) {
  std::vector<std::pair<Cell, Arm>> Out;
  for (const Deployment &Where : {nordItalia(), gujarat()})
    for (std::size_t Kind = 0; Kind < DisturbanceNames.size(); ++Kind)
      for (const double Load : Wanted.Loads_)
        for (unsigned Seed = 1; Seed <= Wanted.Seeds_; ++Seed)
          for (const Arm &Arm : allArms())
            if (isWanted(Wanted.Deployment_, Where.Name_) &&
                isWanted(Wanted.Disturbances_, DisturbanceNames[Kind]) &&
                isWanted(Wanted.Arms_, Arm.Name_))
              Out.push_back({{Where, static_cast<Disturbance>(Kind), Load, Seed,
                              Wanted.Seconds_},
                             Arm});
  return Out;
}

} // namespace

/// Runs every arm under all selected conditions and prints one JSON object a
/// run.
int main(int Argc, char **Argv) {
  const auto Plan = makePlan(readOptions(Argc, Argv));
  std::atomic<std::size_t> Next{0};
  std::mutex Printing;
  std::vector<std::thread> Pool;
  for (unsigned I = 0; I < Workers; ++I)
    Pool.emplace_back([&] {
      for (std::size_t Index = Next++; Index < Plan.size(); Index = Next++) {
        const Outcome Result = runCell(Plan[Index].first, Plan[Index].second);
        const std::lock_guard<std::mutex> Guard(Printing);
        print(Plan[Index].first, Plan[Index].second, Result);
      }
    });
  for (std::thread &Worker : Pool)
    Worker.join();
  return 0;
}
