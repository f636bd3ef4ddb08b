#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Reads the logs of a run of bench/fleet and prints its statistics.
/// Arguments: folder of the run, number of processes.
namespace {

using Json = nlohmann::json;
using Ms = std::uint64_t;

/// A change of the configuration and when the store accepted it.
struct Change {
  std::uint64_t Version_ = 0;
  Ms AcceptedMs_ = 0;
};

/// Time during which a process ran without being paused or restarted.
struct RunInterval {
  Ms From_ = 0;
  Ms To_ = UINT64_MAX;
};

/// Version that a process put in force, and when.
struct AppliedVersion {
  Ms AtMs_ = 0;
  std::uint64_t Version_ = 0;
};

/// Counters of one process at one time.
struct CounterSample {
  Ms AtMs_ = 0;
  double StoreCalls_ = 0;
  double MessagesSent_ = 0;
  double BytesSent_ = 0;
  double BytesReceived_ = 0;
  double CpuMicros_ = 0;
  double ResidentKb_ = 0;
};

struct Process {
  std::vector<RunInterval> RunIntervals_;
  std::vector<AppliedVersion> AppliedVersions_; ///< ascending in time
  std::vector<CounterSample> Samples_;
};

std::vector<Json> readLines(const std::string &File) {
  std::vector<Json> Out;
  std::ifstream In(File);
  std::string Line;
  while (std::getline(In, Line)) {
    Json Value = Json::parse(Line, nullptr, false);
    if (Value.is_object())
      Out.push_back(std::move(Value));
  }
  return Out;
}

Ms readTime(const std::string &File) {
  std::ifstream In(File);
  Ms Out = 0;
  In >> Out;
  return Out;
}

CounterSample parseSample(const Json &Line) {
  return {Line["timeMs"],    Line["storeCalls"],    Line["messagesSent"],
          Line["bytesSent"], Line["bytesReceived"], Line["cpuMicros"],
          Line["residentKb"]};
}

Process readProcess(const std::string &Folder, const std::string &Name,
                    const std::vector<Json> &Events) {
  Process Out;
  for (const Json &Line : readLines(Folder + "/" + Name + ".log")) {
    if (Line["message"] == "ChangeApplied")
      Out.AppliedVersions_.push_back({Line["timeMs"], Line["version"]});
    if (Line["message"] == "figures")
      Out.Samples_.push_back(parseSample(Line));
  }
  for (const Json &Event : Events) {
    if (Event["process"] != Name)
      continue;
    const std::string What = Event["what"];
    if (What == "start" || What == "cont")
      Out.RunIntervals_.push_back({Event["timeMs"], UINT64_MAX});
    else if (!Out.RunIntervals_.empty())
      Out.RunIntervals_.back().To_ = Event["timeMs"];
  }
  return Out;
}

/// Returns the milliseconds from the time at which a process could learn of a
/// change (it was accepted and the process ran) until it was in force there.
/// Returns nothing for a process that stopped before, and UINT64_MAX when the
/// change never came into force.
std::vector<Ms> delaysUntilInForce(const Process &Entry, const Change &Target) {
  std::vector<Ms> Out;
  for (const RunInterval &Interval : Entry.RunIntervals_) {
    if (Interval.To_ <= Target.AcceptedMs_)
      continue;
    const Ms From = std::max(Interval.From_, Target.AcceptedMs_);
    Ms InForce = UINT64_MAX;
    for (const AppliedVersion &Version : Entry.AppliedVersions_)
      if (Version.Version_ >= Target.Version_ &&
          Version.AtMs_ >= Interval.From_ && Version.AtMs_ <= Interval.To_) {
        InForce = Version.AtMs_;
        break;
      }
    // A later interval counts only if the change was not in force in this one.
    if (InForce == UINT64_MAX) {
      if (Interval.To_ == UINT64_MAX)
        Out.push_back(UINT64_MAX);
      continue;
    }
    Out.push_back(InForce > From ? InForce - From : 0);
    break;
  }
  return Out;
}

/// Computes the rates per second between two times.
/// \returns false when the process restarted or has too few samples.
bool computeRates(const Process &Entry, Ms From, Ms To, CounterSample &Rates) {
  const CounterSample *First = nullptr;
  const CounterSample *Last = nullptr;
  for (const CounterSample &Sample : Entry.Samples_) {
    if (Sample.AtMs_ < From || Sample.AtMs_ > To)
      continue;
    if (Last && Sample.CpuMicros_ < Last->CpuMicros_)
      return false; // restarted
    if (!First)
      First = &Sample;
    Last = &Sample;
  }
  if (!First || Last->AtMs_ < First->AtMs_ + 1000)
    return false;
  const double Seconds =
      static_cast<double>(Last->AtMs_ - First->AtMs_) / 1000.0;
  Rates.StoreCalls_ = (Last->StoreCalls_ - First->StoreCalls_) / Seconds;
  Rates.MessagesSent_ = (Last->MessagesSent_ - First->MessagesSent_) / Seconds;
  Rates.BytesSent_ = (Last->BytesSent_ - First->BytesSent_) / Seconds;
  Rates.BytesReceived_ =
      (Last->BytesReceived_ - First->BytesReceived_) / Seconds;
  Rates.CpuMicros_ = (Last->CpuMicros_ - First->CpuMicros_) / Seconds;
  Rates.ResidentKb_ = Last->ResidentKb_;
  return true;
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return -1;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Fraction * Last)];
}

/// Returns median and maximum of one counter over all processes.
Json medianAndMax(const std::vector<CounterSample> &Rates,
                  double CounterSample::*Counter) {
  std::vector<double> Values;
  for (const CounterSample &Rate : Rates)
    Values.push_back(Rate.*Counter);
  return {{"p50", quantile(Values, 0.5)}, {"max", quantile(Values, 1)}};
}

Json summarizePhase(const std::vector<Process> &Processes, Ms From, Ms To) {
  std::vector<CounterSample> Rates;
  for (const Process &Entry : Processes) {
    CounterSample Rate;
    if (computeRates(Entry, From, To, Rate))
      Rates.push_back(Rate);
  }
  return {
      {"processes", Rates.size()},
      {"messagesSentPerS", medianAndMax(Rates, &CounterSample::MessagesSent_)},
      {"bytesSentPerS", medianAndMax(Rates, &CounterSample::BytesSent_)},
      {"bytesReceivedPerS",
       medianAndMax(Rates, &CounterSample::BytesReceived_)},
      {"cpuMicrosPerS", medianAndMax(Rates, &CounterSample::CpuMicros_)},
      {"residentKb", medianAndMax(Rates, &CounterSample::ResidentKb_)}};
}

/// Returns the store calls per second between two readings of its counters.
double storeRate(const std::string &Folder, const std::string &First,
                 const std::string &Last, Ms From, Ms To) {
  std::ifstream Before(Folder + "/counters-" + First + ".json");
  std::ifstream After(Folder + "/counters-" + Last + ".json");
  const Json A = Json::parse(Before);
  const Json B = Json::parse(After);
  const double Calls = B["reads"].get<double>() - A["reads"].get<double>() +
                       B["writes"].get<double>() - A["writes"].get<double>();
  return Calls * 1000.0 / static_cast<double>(To - From);
}

void printPhase(const std::string &Name, const Json &Phase, double StoreCalls) {
  std::cout << Name << ": store calls/s " << StoreCalls << "\n";
  for (const auto &Entry : Phase.items())
    if (Entry.value().is_object())
      std::cout << "  " << std::left << std::setw(20) << Entry.key() << " p50 "
                << std::setw(10) << Entry.value()["p50"].get<double>()
                << " max " << Entry.value()["max"].get<double>() << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 3)
    return 1;
  const std::string Folder = Argv[1];
  const int Size = std::stoi(Argv[2]);
  const std::vector<Json> Events = readLines(Folder + "/events.log");
  std::vector<Process> Processes;
  for (int I = 0; I < Size; ++I)
    Processes.push_back(
        readProcess(Folder, "entry-" + std::to_string(I), Events));

  // For each change, seconds until it was in force on every running process.
  std::vector<double> Seconds;
  unsigned NeverCount = 0;
  for (const Json &Line : readLines(Folder + "/changes.log")) {
    const Change Target{Line["version"], Line["timeMs"]};
    Ms MaxDelay = 0;
    for (const Process &Entry : Processes)
      for (const Ms Delay : delaysUntilInForce(Entry, Target))
        Delay == UINT64_MAX ? ++NeverCount
                            : MaxDelay = std::max(MaxDelay, Delay);
    Seconds.push_back(static_cast<double>(MaxDelay) / 1000.0);
  }

  const Ms Began = readTime(Folder + "/began");
  const Ms Ended = readTime(Folder + "/ended");
  const Ms QuietEnded = readTime(Folder + "/quiet-ended");
  Json Out{{"processes", Size},
           {"changes", Seconds.size()},
           {"neverInForce", NeverCount},
           {"inForceSeconds",
            {{"p50", quantile(Seconds, 0.5)},
             {"p99", quantile(Seconds, 0.99)},
             {"max", quantile(Seconds, 1)}}}};
  Out["busy"] = summarizePhase(Processes, Began, Ended);
  Out["quiet"] = summarizePhase(Processes, Ended + 2000, QuietEnded);
  Out["busy"]["storeCallsPerS"] =
      storeRate(Folder, "before", "after", Began, Ended);
  Out["quiet"]["storeCallsPerS"] =
      storeRate(Folder, "after", "quiet", Ended, QuietEnded);
  std::cout << Size << " processes, " << Seconds.size()
            << " changes; in force everywhere after p50 "
            << quantile(Seconds, 0.5) << " s, p99 " << quantile(Seconds, 0.99)
            << " s, max " << quantile(Seconds, 1) << " s; never: " << NeverCount
            << "\n";
  for (const char *Name : {"busy", "quiet"})
    printPhase(Name, Out[Name], Out[Name]["storeCallsPerS"]);
  std::cout << Out.dump() << "\n";
}
