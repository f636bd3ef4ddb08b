#include <algorithm>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/// Reads what a run of bench/fleet has left and prints its figures.
/// Arguments: the run's folder, number of processes.
namespace {

using Json = nlohmann::json;
using Ms = std::uint64_t;

struct Change {
  std::uint64_t Version_ = 0;
  Ms AcceptedMs_ = 0;
};

/// A time during which a process runs without pause.
struct Span {
  Ms From_ = 0;
  Ms To_ = UINT64_MAX;
};

struct Applied {
  Ms AtMs_ = 0;
  std::uint64_t Version_ = 0;
};

/// Counters of one process at one moment.
struct Figures {
  Ms AtMs_ = 0;
  double StoreCalls_ = 0;
  double MessagesSent_ = 0;
  double BytesSent_ = 0;
  double BytesReceived_ = 0;
  double CpuMicros_ = 0;
  double ResidentKb_ = 0;
};

struct Process {
  std::vector<Span> Spans_;
  std::vector<Applied> Applied_; ///< ascending in time
  std::vector<Figures> Figures_;
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

Figures figuresOf(const Json &Line) {
  return {Line["timeMs"],    Line["storeCalls"],    Line["messagesSent"],
          Line["bytesSent"], Line["bytesReceived"], Line["cpuMicros"],
          Line["residentKb"]};
}

Process readProcess(const std::string &Folder, const std::string &Name,
                    const std::vector<Json> &Events) {
  Process Out;
  for (const Json &Line : readLines(Folder + "/" + Name + ".log")) {
    if (Line["message"] == "ChangeApplied")
      Out.Applied_.push_back({Line["timeMs"], Line["version"]});
    if (Line["message"] == "figures")
      Out.Figures_.push_back(figuresOf(Line));
  }
  for (const Json &Event : Events) {
    if (Event["process"] != Name)
      continue;
    const std::string What = Event["what"];
    if (What == "start" || What == "cont")
      Out.Spans_.push_back({Event["timeMs"], UINT64_MAX});
    else if (!Out.Spans_.empty())
      Out.Spans_.back().To_ = Event["timeMs"];
  }
  return Out;
}

/// Milliseconds from the moment that a process could know of a change (it was
/// accepted and the process ran) until it was in force there; nothing when the
/// process stopped before.
std::vector<Ms> delaysOf(const Process &Of, const Change &What) {
  std::vector<Ms> Out;
  for (const Span &Running : Of.Spans_) {
    if (Running.To_ <= What.AcceptedMs_)
      continue;
    const Ms From = std::max(Running.From_, What.AcceptedMs_);
    Ms InForce = UINT64_MAX;
    for (const Applied &One : Of.Applied_)
      if (One.Version_ >= What.Version_ && One.AtMs_ >= Running.From_ &&
          One.AtMs_ <= Running.To_) {
        InForce = One.AtMs_;
        break;
      }
    // A later span needs a look only when the change was not in force before.
    if (InForce == UINT64_MAX) {
      if (Running.To_ == UINT64_MAX)
        Out.push_back(UINT64_MAX);
      continue;
    }
    Out.push_back(InForce > From ? InForce - From : 0);
    break;
  }
  return Out;
}

/// Figures per second between two times, for a process that did not restart.
bool ratesBetween(const Process &Of, Ms From, Ms To, Figures &Rates) {
  const Figures *First = nullptr;
  const Figures *Last = nullptr;
  for (const Figures &One : Of.Figures_) {
    if (One.AtMs_ < From || One.AtMs_ > To)
      continue;
    if (Last && One.CpuMicros_ < Last->CpuMicros_)
      return false; // restarted
    if (!First)
      First = &One;
    Last = &One;
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

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return -1;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Share * Last)];
}

/// Median and maximum of one figure over all processes.
Json spread(const std::vector<Figures> &Rates, double Figures::*Which) {
  std::vector<double> Values;
  for (const Figures &One : Rates)
    Values.push_back(One.*Which);
  return {{"p50", quantile(Values, 0.5)}, {"max", quantile(Values, 1)}};
}

Json phase(const std::vector<Process> &Processes, Ms From, Ms To) {
  std::vector<Figures> Rates;
  for (const Process &One : Processes) {
    Figures Of;
    if (ratesBetween(One, From, To, Of))
      Rates.push_back(Of);
  }
  return {{"processes", Rates.size()},
          {"messagesSentPerS", spread(Rates, &Figures::MessagesSent_)},
          {"bytesSentPerS", spread(Rates, &Figures::BytesSent_)},
          {"bytesReceivedPerS", spread(Rates, &Figures::BytesReceived_)},
          {"cpuMicrosPerS", spread(Rates, &Figures::CpuMicros_)},
          {"residentKb", spread(Rates, &Figures::ResidentKb_)}};
}

/// Calls to the store per second between two readings of its counters.
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

void printPhase(const std::string &Name, const Json &Of, double StoreCalls) {
  std::cout << Name << ": store calls/s " << StoreCalls << "\n";
  for (const auto &Entry : Of.items())
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

  // Seconds until a change was in force on every process that ran.
  std::vector<double> Seconds;
  unsigned Never = 0;
  for (const Json &Line : readLines(Folder + "/changes.log")) {
    const Change What{Line["version"], Line["timeMs"]};
    Ms Worst = 0;
    for (const Process &One : Processes)
      for (const Ms Delay : delaysOf(One, What))
        Delay == UINT64_MAX ? ++Never : Worst = std::max(Worst, Delay);
    Seconds.push_back(static_cast<double>(Worst) / 1000.0);
  }

  const Ms Began = readTime(Folder + "/began");
  const Ms Ended = readTime(Folder + "/ended");
  const Ms QuietEnded = readTime(Folder + "/quiet-ended");
  Json Out{{"processes", Size},
           {"changes", Seconds.size()},
           {"neverInForce", Never},
           {"inForceSeconds",
            {{"p50", quantile(Seconds, 0.5)},
             {"p99", quantile(Seconds, 0.99)},
             {"max", quantile(Seconds, 1)}}}};
  Out["busy"] = phase(Processes, Began, Ended);
  Out["quiet"] = phase(Processes, Ended + 2000, QuietEnded);
  Out["busy"]["storeCallsPerS"] =
      storeRate(Folder, "before", "after", Began, Ended);
  Out["quiet"]["storeCallsPerS"] =
      storeRate(Folder, "after", "quiet", Ended, QuietEnded);
  std::cout << Size << " processes, " << Seconds.size()
            << " changes; in force everywhere after p50 "
            << quantile(Seconds, 0.5) << " s, p99 " << quantile(Seconds, 0.99)
            << " s, max " << quantile(Seconds, 1) << " s; never: " << Never
            << "\n";
  for (const char *Name : {"busy", "quiet"})
    printPhase(Name, Out[Name], Out[Name]["storeCallsPerS"]);
  std::cout << Out.dump() << "\n";
}
