#include "emulator/journalreader.h"
#include "emulator/loadresult.h"
#include "emulator/schedule.h"
#include "emulator/svgplot.h"
#include "emulator/verdict.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::emulator;
using model::milliseconds;

namespace {

LoadPlan samplePlan() {
  LoadPlan Plan;
  Plan.Duration_ = milliseconds(10000);
  Plan.Entries_ = {{"127.0.0.1", 80, 0}};
  Plan.Routes_.resize(2);
  Plan.Routes_[0].Name_ = "search";
  Plan.Routes_[0].CallsPerSecond_ = 300;
  Plan.Routes_[0].Idempotent_ = true;
  Plan.Routes_[1].Name_ = "licence";
  Plan.Routes_[1].CallsPerSecond_ = 100;
  Plan.Phases_ = {{"calm", milliseconds(0), 1},
                  {"rush", milliseconds(5000), 3}};
  return Plan;
}

std::vector<PlannedCall> allCalls(const LoadPlan &Plan, unsigned Thread) {
  Schedule State = makeSchedule(Plan, Thread);
  std::vector<PlannedCall> Out;
  while (const auto Call = nextCall(State))
    Out.push_back(*Call);
  return Out;
}

class TheScheduleOfTheLoad : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheScheduleOfTheLoad);
  CPPUNIT_TEST(isTheSameForTheSameSeed);
  CPPUNIT_TEST(followsTheRatesOfRoutesAndPhases);
  CPPUNIT_TEST(sharesTheRateAmongThreads);
  CPPUNIT_TEST_SUITE_END();

public:
  void isTheSameForTheSameSeed() {
    LoadPlan Plan = samplePlan();
    const auto First = allCalls(Plan, 0);
    const auto Again = allCalls(Plan, 0);
    CPPUNIT_ASSERT(std::equal(First.begin(), First.end(), Again.begin(),
                              Again.end(),
                              [](const PlannedCall &A, const PlannedCall &B) {
                                return A.At_ == B.At_ && A.Route_ == B.Route_ &&
                                       A.Caller_ == B.Caller_;
                              }));
    Plan.Seed_ = 2;
    CPPUNIT_ASSERT(allCalls(Plan, 0).front().At_ != First.front().At_);
  }

  void followsTheRatesOfRoutesAndPhases() {
    const auto Calls = allCalls(samplePlan(), 0);
    const auto Count = [&](unsigned Route, bool Rush) {
      return std::count_if(Calls.begin(), Calls.end(), [&](const auto &Call) {
        return Call.Route_ == Route && (Call.At_ >= milliseconds(5000)) == Rush;
      });
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1500, Count(0, false), 150);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4500, Count(0, true), 300);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, Count(1, false), 90);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1500, Count(1, true), 150);
  }

  void sharesTheRateAmongThreads() {
    LoadPlan Plan = samplePlan();
    Plan.Threads_ = 4;
    std::size_t Sum = 0;
    for (unsigned Thread = 0; Thread < 4; ++Thread)
      Sum += allCalls(Plan, Thread).size();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(8000, static_cast<double>(Sum), 400);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheScheduleOfTheLoad);

CallOutcome outcomeOf(OutcomeKind What) {
  CallOutcome Out;
  Out.Kind_ = What;
  return Out;
}

JournalEntry runEndingWith(RunEnd End) {
  JournalEntry Out;
  Out.End_ = End;
  return Out;
}

using Faults = std::vector<Fault>;

class TheVerdictOnACall : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheVerdictOnACall);
  CPPUNIT_TEST(hasNoFaultWhenTheOutcomeMatchesTheRuns);
  CPPUNIT_TEST(isLostWithoutACompletedRunOrWithoutAnOutcome);
  CPPUNIT_TEST(isDoubledWhenANonIdempotentCallRanTwice);
  CPPUNIT_TEST(isUntruthfulWhenACallThatRanIsReportedAsNotRun);
  CPPUNIT_TEST(isUntruthfulWhenACompleteAnswerHasTheWrongLength);
  CPPUNIT_TEST(isForeignWhenTheAnswerBelongsToAnotherCall);
  CPPUNIT_TEST(isCutOffByAGracefulStopOnly);
  CPPUNIT_TEST(countsBrokenAnswersAsLostOnTheWayOnlyIfTheRunCompleted);
  CPPUNIT_TEST(isCountedWithItsTrace);
  CPPUNIT_TEST_SUITE_END();

public:
  void hasNoFaultWhenTheOutcomeMatchesTheRuns() {
    expect({}, outcomeOf(OutcomeKind::Answer), {runEndingWith(RunEnd::Whole)},
           false);
    expect({}, outcomeOf(OutcomeKind::Answer),
           {runEndingWith(RunEnd::Killed), runEndingWith(RunEnd::Whole)}, true);
    expect({}, outcomeOf(OutcomeKind::NotRun), {}, false);
    expect({}, outcomeOf(OutcomeKind::Unknown), {}, false);
    expect({}, outcomeOf(OutcomeKind::Unknown), {runEndingWith(RunEnd::Killed)},
           false);
    expect({}, outcomeOf(OutcomeKind::ConnectionLost),
           {runEndingWith(RunEnd::Whole)}, false);
    expect({}, outcomeOf(OutcomeKind::BrokenAnswer),
           {runEndingWith(RunEnd::CutShort)}, false);
    expect({}, outcomeOf(OutcomeKind::ServerError),
           {runEndingWith(RunEnd::Failed)}, false);
    expect({}, outcomeOf(OutcomeKind::Cancelled),
           {runEndingWith(RunEnd::Cancelled)}, false);
  }

  void isLostWithoutACompletedRunOrWithoutAnOutcome() {
    expect({Fault::Lost}, outcomeOf(OutcomeKind::Answer), {}, true);
    expect({Fault::Lost}, outcomeOf(OutcomeKind::Answer),
           {runEndingWith(RunEnd::CutShort)}, true);
    expect({Fault::Lost}, outcomeOf(OutcomeKind::GaveUp),
           {runEndingWith(RunEnd::Whole)}, true);
  }

  void isDoubledWhenANonIdempotentCallRanTwice() {
    const std::vector<JournalEntry> Twice = {runEndingWith(RunEnd::Whole),
                                             runEndingWith(RunEnd::Failed)};
    expect({Fault::Doubled}, outcomeOf(OutcomeKind::Answer), Twice, false);
    expect({}, outcomeOf(OutcomeKind::Answer), Twice, true);
  }

  void isUntruthfulWhenACallThatRanIsReportedAsNotRun() {
    for (const OutcomeKind What :
         {OutcomeKind::NotRun, OutcomeKind::Refused, OutcomeKind::NotSent})
      expect({Fault::Untruthful}, outcomeOf(What),
             {runEndingWith(RunEnd::Cancelled)}, true);
  }

  void isUntruthfulWhenACompleteAnswerHasTheWrongLength() {
    CallOutcome WrongLength = outcomeOf(OutcomeKind::Answer);
    WrongLength.WrongLength_ = true;
    expect({Fault::Untruthful}, WrongLength, {runEndingWith(RunEnd::Whole)},
           true);
  }

  void isForeignWhenTheAnswerBelongsToAnotherCall() {
    CallOutcome Foreign = outcomeOf(OutcomeKind::Answer);
    Foreign.Foreign_ = true;
    expect({Fault::Foreign}, Foreign, {runEndingWith(RunEnd::Whole)}, true);
  }

  void isCutOffByAGracefulStopOnly() {
    expect({Fault::CutOff}, outcomeOf(OutcomeKind::Unknown),
           {runEndingWith(RunEnd::CutOff)}, false);
  }

  void countsBrokenAnswersAsLostOnTheWayOnlyIfTheRunCompleted() {
    CPPUNIT_ASSERT(isLostOnTheWay(outcomeOf(OutcomeKind::ConnectionLost), {}));
    CPPUNIT_ASSERT(isLostOnTheWay(outcomeOf(OutcomeKind::BrokenAnswer),
                                  {runEndingWith(RunEnd::Whole)}));
    CPPUNIT_ASSERT(!isLostOnTheWay(outcomeOf(OutcomeKind::BrokenAnswer),
                                   {runEndingWith(RunEnd::CutShort)}));
    CPPUNIT_ASSERT(!isLostOnTheWay(outcomeOf(OutcomeKind::Answer),
                                   {runEndingWith(RunEnd::Whole)}));
  }

  void isCountedWithItsTrace() {
    Verdict Sum;
    LoadRoute Route;
    Route.Name_ = "licence";
    for (int I = 0; I < 30; ++I)
      addToVerdict(Sum, "c" + std::to_string(I), outcomeOf(OutcomeKind::NotRun),
                   {runEndingWith(RunEnd::Whole), runEndingWith(RunEnd::Whole)},
                   Route);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), Sum.Untruthful_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(30), Sum.Doubled_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), Sum.Traces_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c0"), Sum.Traces_[0].Call_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Sum.Traces_[0].Runs_.size());
  }

private:
  static void expect(const Faults &Expected, const CallOutcome &Outcome,
                     const std::vector<JournalEntry> &Runs, bool Idempotent) {
    CPPUNIT_ASSERT(findFaults(Outcome, Runs, Idempotent) == Expected);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheVerdictOnACall);

class TheJournalOfAKilledProcess : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheJournalOfAKilledProcess);
  CPPUNIT_TEST(keepsTheLatestEntryOfEachRun);
  CPPUNIT_TEST(skipsOtherRunsAndReportsMalformedLines);
  CPPUNIT_TEST_SUITE_END();

public:
  void keepsTheLatestEntryOfEachRun() {
    JournalTable Table;
    CPPUNIT_ASSERT(addJournalLines(lineOf(1, "7-a", RunEnd::Running) +
                                       lineOf(2, "7-a", RunEnd::Running) +
                                       lineOf(1, "7-a", RunEnd::Whole),
                                   "7-", Table));
    const RunsByCall Runs = runsByCall(Table);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Runs.at("7-a").size());
    CPPUNIT_ASSERT(Runs.at("7-a")[0].End_ == RunEnd::Whole);
    CPPUNIT_ASSERT(Runs.at("7-a")[1].End_ == RunEnd::Running);
  }

  void skipsOtherRunsAndReportsMalformedLines() {
    JournalTable Table;
    CPPUNIT_ASSERT(!addJournalLines(
        lineOf(1, "6-a", RunEnd::Whole) + "{\"call\":\"7-", "7-", Table));
    CPPUNIT_ASSERT(Table.empty());
  }

private:
  static std::string lineOf(std::uint64_t Sequence, const std::string &Call,
                            RunEnd End) {
    JournalEntry Entry;
    Entry.Sequence_ = Sequence;
    Entry.Server_ = "s";
    Entry.Call_ = Call;
    Entry.End_ = End;
    return codec::toJson(Entry).dump() + "\n";
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheJournalOfAKilledProcess);

class TheResultOfALoad : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheResultOfALoad);
  CPPUNIT_TEST(takesQuantilesByNearestRank);
  CPPUNIT_TEST(splitsLatencyByRouteAndPhase);
  CPPUNIT_TEST(namesOutcomesByTheirResultCode);
  CPPUNIT_TEST(survivesAJsonRoundTripAndCanBePlotted);
  CPPUNIT_TEST_SUITE_END();

public:
  void takesQuantilesByNearestRank() {
    std::vector<double> Figures;
    for (int I = 1; I <= 1000; ++I)
      Figures.push_back(I);
    CPPUNIT_ASSERT_EQUAL(500.0, quantileOf(Figures, 0.5));
    CPPUNIT_ASSERT_EQUAL(990.0, quantileOf(Figures, 0.99));
    CPPUNIT_ASSERT_EQUAL(999.0, quantileOf(Figures, 0.999));
    CPPUNIT_ASSERT_EQUAL(1000.0, quantileOf(Figures, 1));
    CPPUNIT_ASSERT_EQUAL(0.0, quantileOf({}, 0.5));
  }

  void splitsLatencyByRouteAndPhase() {
    const LoadResult Result = summarize(samplePlan(), sampleOutcomes());
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Result.Routes_.size());
    const RouteResult &RushSearch = Result.Routes_[4];
    CPPUNIT_ASSERT_EQUAL(std::string("rush"), RushSearch.Phase_);
    CPPUNIT_ASSERT_EQUAL(std::string("search"), RushSearch.Route_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), RushSearch.Latency_.Calls_);
    CPPUNIT_ASSERT_EQUAL(40.0, RushSearch.Latency_.P99Ms_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Result.Overall_.Calls_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Result.Overall_.Answered_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Result.Entries_[0].Calls_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Result.Timeline_[5].Calls_);
  }

  void namesOutcomesByTheirResultCode() {
    const LoadResult Result = summarize(samplePlan(), sampleOutcomes());
    const std::map<std::string, std::uint64_t> Expected = {
        {"101 NotRunQueueFull", 1}, {"answer", 2}, {"connectionLost", 1}};
    CPPUNIT_ASSERT(Result.Outcomes_ == Expected);
  }

  void survivesAJsonRoundTripAndCanBePlotted() {
    LoadResult Result = summarize(samplePlan(), sampleOutcomes());
    Result.Marks_ = {{1000, "drain <a>"}};
    LoadResult Read;
    model::Problems Found;
    codec::fromJson(codec::toJson(Result), "", Read, Found);
    CPPUNIT_ASSERT(Found.empty());
    CPPUNIT_ASSERT(Read == Result);
    const std::string Picture = plotResult(Read);
    CPPUNIT_ASSERT(Picture.find("drain &lt;a>") != std::string::npos);
    CPPUNIT_ASSERT(Picture.find("(ms)") != std::string::npos);
    CPPUNIT_ASSERT(Picture.find("nan") == std::string::npos);
  }

private:
  static std::vector<CallOutcome> sampleOutcomes() {
    std::vector<CallOutcome> Out(4);
    Out[0].At_ = milliseconds(1000);
    Out[0].Kind_ = OutcomeKind::Answer;
    Out[0].Latency_ = milliseconds(10);
    Out[1].At_ = milliseconds(6000);
    Out[1].Kind_ = OutcomeKind::Answer;
    Out[1].Latency_ = milliseconds(40);
    Out[2].At_ = milliseconds(1100);
    Out[2].Route_ = 1;
    Out[2].Kind_ = OutcomeKind::NotRun;
    Out[2].Code_ = 101;
    Out[3].At_ = milliseconds(1199);
    Out[3].Kind_ = OutcomeKind::ConnectionLost;
    return Out;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheResultOfALoad);

} // namespace
