#include "experiment.h"
#include "adapters/log.h"
#include "emulator/httpcall.h"
#include "emulator/journalreader.h"
#include "loadthread.h"
#include <algorithm>
#include <atomic>
#include <thread>

namespace cumingauge::load {

using namespace emulator;

namespace {

/// Time before the first call, in which the threads start.
constexpr model::milliseconds StartDelay{300};
constexpr model::milliseconds ReadinessPeriod{100};
/// Time for cancelled calls to end at the backend servers before their journals
/// are read.
constexpr model::milliseconds CancellationGrace{500};

std::uint64_t wallClockMs() {
  using namespace std::chrono;
  return static_cast<std::uint64_t>(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count());
}

/// Sends the requests of the plan's actions at their times. Blocks.
void runActions(const LoadPlan &Plan, model::TimePoint Start) {
  std::vector<LoadAction> Actions = Plan.Actions_;
  std::stable_sort(
      Actions.begin(), Actions.end(),
      [](const LoadAction &A, const LoadAction &B) { return A.At_ < B.At_; });
  for (const LoadAction &Action : Actions) {
    std::this_thread::sleep_until(Start + Action.At_);
    HttpCall Call;
    Call.Host_ = Action.Host_;
    Call.Port_ = Action.Port_;
    Call.Method_ = Action.Method_;
    Call.Target_ = Action.Target_;
    Call.Body_ = Action.Body_.dump();
    const auto Reply = callHttp(Call);
    if (!Reply || Reply->Status_ != 200)
      adapters::log(adapters::LogLevel::Warning,
                    "action request failed; the run continues without it",
                    {{"target", Action.Target_},
                     {"status", Reply ? Reply->Status_ : 0U}});
  }
}

/// Runs the load threads, and beside them the readiness checks and the actions.
/// Returns the reports of the load threads.
std::vector<ThreadReport> runLoad(const LoadPlan &Plan, const std::string &Run,
                                  model::TimePoint Start) {
  EntryTable Entries(Plan.Entries_);
  Entries.pollReadiness();
  std::atomic<bool> IsDone{false};
  std::thread Readiness([&] {
    while (!IsDone) {
      Entries.pollReadiness();
      std::this_thread::sleep_for(ReadinessPeriod);
    }
  });
  std::thread Actions([&] { runActions(Plan, Start); });
  std::vector<ThreadReport> Reports(Plan.Threads_);
  std::vector<std::thread> Threads;
  for (unsigned I = 0; I < Plan.Threads_; ++I)
    Threads.emplace_back(
        [&, I] { Reports[I] = runLoadThread(Plan, Run, I, Start, Entries); });
  for (std::thread &Thread : Threads)
    Thread.join();
  Actions.join();
  IsDone = true;
  Readiness.join();
  return Reports;
}

using ProbeCounts = std::map<std::string, std::uint64_t>;

/// Returns the probes that each backend server has counted so far.
ProbeCounts readAllProbes(const LoadPlan &Plan) {
  ProbeCounts Out;
  for (const JournalSource &Source : Plan.Journals_)
    for (const auto &Server : readProbes(Source))
      Out[Server.first] = Server.second;
  return Out;
}

/// Adds the calls that each backend server ran, and the probes that it received
/// during the run.
void addServers(const LoadPlan &Plan, const JournalTable &Table,
                const ProbeCounts &Before, const ProbeCounts &After,
                LoadResult &Out) {
  std::map<std::string, ServerResult> ByName;
  const auto Buckets =
      static_cast<std::size_t>(Plan.Duration_ / Plan.Bucket_) + 1;
  for (const auto &Row : Table) {
    const JournalEntry &Entry = Row.second;
    ServerResult &Server = ByName[Entry.Server_];
    Server.StartsByBucket_.resize(Buckets);
    const auto StartMs = static_cast<std::int64_t>(Entry.StartUs_ / 1000) -
                         static_cast<std::int64_t>(Out.StartedAtMs_);
    const auto Bucket = static_cast<std::size_t>(
        std::max<std::int64_t>(0, StartMs) / Plan.Bucket_.count());
    ++Server.StartsByBucket_[std::min(Bucket, Buckets - 1)];
    ++Server.Ran_;
    Server.LastStartMs_ = std::max(Server.LastStartMs_, StartMs);
  }
  std::uint64_t Probes = 0;
  for (const auto &Server : After) {
    const auto Known = Before.find(Server.first);
    const std::uint64_t Earlier = Known == Before.end() ? 0 : Known->second;
    ByName[Server.first].Probes_ = Server.second - Earlier;
    Probes += Server.second - Earlier;
  }
  Out.ProbesPerSecond_ = static_cast<double>(Probes) * 1000 /
                         static_cast<double>(Plan.Duration_.count());
  for (auto &Server : ByName) {
    Server.second.Server_ = Server.first;
    Out.Servers_.push_back(std::move(Server.second));
  }
}

/// Compares the outcome of each call with its runs in the journals.
void addVerdicts(const LoadPlan &Plan, const std::string &Run,
                 const std::vector<ThreadReport> &Reports,
                 const RunsByCall &Runs, LoadResult &Out) {
  const std::vector<JournalEntry> NoRuns;
  for (unsigned Thread = 0; Thread < Reports.size(); ++Thread)
    for (std::size_t I = 0; I < Reports[Thread].Outcomes_.size(); ++I) {
      const std::string Call = callName(Run, Thread, I);
      const auto Found = Runs.find(Call);
      const auto &RunsOfCall = Found == Runs.end() ? NoRuns : Found->second;
      const CallOutcome &Outcome = Reports[Thread].Outcomes_[I];
      addToVerdict(Out.Verdict_, Call, Outcome, RunsOfCall,
                   Plan.Routes_[Outcome.Route_]);
      if (isLostOnTheWay(Outcome, RunsOfCall))
        ++Out.Entries_[Outcome.Entry_].LostOnTheWay_;
    }
}

/// Returns the 99th percentile of the delay between the scheduled and the real
/// start of the calls, in ms.
double lateStartsP99(const std::vector<ThreadReport> &Reports) {
  std::vector<double> Ms;
  for (const ThreadReport &Report : Reports)
    for (const model::Duration Late : Report.LateStarts_)
      Ms.push_back(std::chrono::duration<double, std::milli>(Late).count());
  std::sort(Ms.begin(), Ms.end());
  return quantileOf(Ms, 0.99);
}

} // namespace

LoadResult runExperiment(const LoadPlan &Plan) {
  const std::uint64_t StartedAtMs =
      wallClockMs() + static_cast<std::uint64_t>(StartDelay.count());
  const model::TimePoint Start = std::chrono::steady_clock::now() + StartDelay;
  const std::string Run =
      std::to_string(Plan.Seed_) + "x" + std::to_string(StartedAtMs);
  const ProbeCounts ProbesBefore = readAllProbes(Plan);
  const std::vector<ThreadReport> Reports = runLoad(Plan, Run, Start);
  const ProbeCounts ProbesAfter = readAllProbes(Plan);
  std::this_thread::sleep_for(CancellationGrace);

  std::vector<CallOutcome> Outcomes;
  for (const ThreadReport &Report : Reports)
    Outcomes.insert(Outcomes.end(), Report.Outcomes_.begin(),
                    Report.Outcomes_.end());
  LoadResult Out = summarize(Plan, Outcomes);
  Out.StartedAtMs_ = StartedAtMs;
  Out.LateStartsP99Ms_ = lateStartsP99(Reports);
  for (const ThreadReport &Report : Reports)
    Out.StrayBytes_ += Report.StrayBytes_;
  JournalTable Table;
  Out.JournalsComplete_ = !Plan.Journals_.empty();
  for (const JournalSource &Source : Plan.Journals_)
    Out.JournalsComplete_ =
        readJournal(Source, Run + "-", Table) && Out.JournalsComplete_;
  addVerdicts(Plan, Run, Reports, runsByCall(Table), Out);
  addServers(Plan, Table, ProbesBefore, ProbesAfter, Out);
  return Out;
}

} // namespace cumingauge::load
