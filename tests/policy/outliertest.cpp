#include "policy/fleet.h"
#include "policy/reports.h"
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

std::uint64_t counted(const BalancerState &State, ChoiceReason Reason) {
  return reasonCounts(State)[static_cast<std::size_t>(Reason)];
}

class EjectingAFailingServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EjectingAFailingServer);
  CPPUNIT_TEST(sendsNoCallToAnEjectedServer);
  CPPUNIT_TEST(avoidsAServerThatFailsFast);
  CPPUNIT_TEST(neverEjectsMoreThanTheCeiling);
  CPPUNIT_TEST(sendsCallsWhenEveryServerIsEjected);
  CPPUNIT_TEST(returnsAServerAfterAFewGoodAnswers);
  CPPUNIT_TEST(ignoresTimeoutsOfCallsWithTooLittleTime);
  CPPUNIT_TEST_SUITE_END();

  static std::shared_ptr<BalancerState> balancer(unsigned Servers) {
    auto State = makeBalancer("milano-a", 1, 11);
    apply(*State,
          viewOf(Servers, 3, presetWith(model::PickMethod::ExpectedWait), 1),
          at(0));
    return State;
  }

  /// Sends one call that ends at once; the servers in \p Failing answer an
  /// error.
  static ServerHandle callOnce(BalancerState &State, CallId Id,
                               model::TimePoint Now,
                               const std::set<ServerHandle> &Failing) {
    const CallFacts Call = callAt(Id, Now);
    const Decision Made = admit(State, Call, Now);
    const bool Fails = Failing.count(Made.Server_) > 0;
    endAttempt(State, Call, Made.Server_,
               Fails ? AttemptEnd::AnsweredError : AttemptEnd::Answered,
               Fails ? model::microseconds(200) : model::milliseconds(10), Now);
    return Made.Server_;
  }

public:
  void sendsNoCallToAnEjectedServer() {
    CPPUNIT_ASSERT(rc::check([] {
      const unsigned Count = *rc::gen::inRange(4u, 20u);
      const auto State = balancer(Count);
      const ServerHandle Bad = *rc::gen::inRange(0u, Count);
      std::uint64_t Ejections = 0;
      model::TimePoint Until;
      long long Ms = 0;
      for (CallId Id = 0; Id < 600; ++Id) {
        Ms += 50 + *rc::gen::inRange(0, 100);
        const ServerHandle Used = callOnce(*State, Id, at(Ms), {Bad});
        RC_ASSERT(Used != Bad || at(Ms) >= Until);
        if (counted(*State, ChoiceReason::ServerEjected) == Ejections)
          continue;
        // Each ejection lasts twice as long as the one before.
        Until = at(Ms) + model::milliseconds(1000 << Ejections);
        ++Ejections;
      }
      RC_ASSERT(Ejections >= 2);
    }));
  }

  /// A server that fails at once must not attract calls by its short latency;
  /// ejection is off.
  void avoidsAServerThatFailsFast() {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Ejection_.MaxEjectedShare_ = 0;
    const auto State = makeBalancer("milano-a", 1, 11);
    apply(*State, viewOf(10, 3, Preset, 1), at(0));
    unsigned Bad = 0;
    for (CallId Id = 0; Id < 1000; ++Id)
      Bad += callOnce(*State, Id, at(static_cast<long long>(Id)), {0}) == 0;
    CPPUNIT_ASSERT(Bad < 20); // an even share would be 100
  }

  void neverEjectsMoreThanTheCeiling() {
    CPPUNIT_ASSERT(rc::check([] {
      const unsigned Count = *rc::gen::inRange(1u, 20u);
      const auto State = balancer(Count);
      const unsigned FailingCount = *rc::gen::inRange(0u, Count + 1);
      std::set<ServerHandle> Failing;
      for (unsigned I = 0; I < FailingCount; ++I)
        Failing.insert(I);
      for (CallId Id = 0; Id < 400; ++Id)
        callOnce(*State, Id, at(0), Failing);
      RC_ASSERT(static_cast<double>(counted(
                    *State, ChoiceReason::ServerEjected)) <= 0.3 * Count);
    }));
  }

  void sendsCallsWhenEveryServerIsEjected() {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Ejection_.MaxEjectedShare_ = 1;
    const auto State = makeBalancer("milano-a", 1, 11);
    apply(*State, viewOf(3, 3, Preset, 1), at(0));
    for (CallId Id = 0; Id < 200; ++Id)
      CPPUNIT_ASSERT(callOnce(*State, Id, at(0), {0, 1, 2}) != NoServer);
    CPPUNIT_ASSERT(counted(*State, ChoiceReason::LastResort) > 0);
  }

  void returnsAServerAfterAFewGoodAnswers() {
    const auto State = balancer(4);
    CallId Id = 0;
    for (; Id < 10000; ++Id)
      callOnce(*State, Id, at(static_cast<long long>(Id)), {0});
    CPPUNIT_ASSERT(counted(*State, ChoiceReason::ServerEjected) > 0);
    unsigned Used = 0;
    for (long long Ms = 200000; Ms < 210000; Ms += 5)
      Used += callOnce(*State, ++Id, at(Ms), {}) == 0;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         counted(*State, ChoiceReason::ServerReturned));
    CPPUNIT_ASSERT(Used > 200); // an even share would be 500
  }

  /// Calls whose time ends before an answer could be expected eject no server;
  /// calls that waited far longer than the mean do.
  void ignoresTimeoutsOfCallsWithTooLittleTime() {
    for (const long long TimeMs : {3, 100}) {
      const auto State = balancer(10);
      for (CallId Id = 0; Id < 100; ++Id)
        callOnce(*State, Id, at(0), {});
      for (CallId Id = 0; Id < 400; ++Id) {
        const auto Now = at(static_cast<long long>(Id) * 10);
        const CallFacts Call = callAt(Id, Now);
        const Decision Made = admit(*State, Call, Now);
        endAttempt(*State, Call, Made.Server_, AttemptEnd::TimedOut,
                   model::milliseconds(TimeMs), Now);
      }
      const bool Ejected = counted(*State, ChoiceReason::ServerEjected) > 0;
      CPPUNIT_ASSERT_EQUAL(TimeMs > 30, Ejected);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EjectingAFailingServer);

class WeighingReports : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeighingReports);
  CPPUNIT_TEST(decaysToTheMeanWithAge);
  CPPUNIT_TEST(countsOwnCallsSinceTheReport);
  CPPUNIT_TEST(ignoresAReportThatNeverChanges);
  CPPUNIT_TEST(provesAReportWrongThatLacksOwnCalls);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double MeanBacklog = 2;

  static model::LoadReport loadOf(unsigned Calls, long long AgeMs = 0) {
    model::LoadReport Report;
    Report.InFlight_ = Calls;
    Report.Age_ = model::milliseconds(AgeMs);
    return Report;
  }

  static BacklogEstimate expected(const ReportRecord &Record, unsigned Own,
                                  long long Ms) {
    return expectedBacklog(Record, MeanBacklog, Own,
                           {model::milliseconds(10), model::milliseconds(500)},
                           at(Ms));
  }

public:
  void decaysToTheMeanWithAge() {
    CPPUNIT_ASSERT(rc::check([] {
      ReportRecord Record;
      const unsigned Calls = *rc::gen::inRange(0u, 20u);
      const long long Lag = *rc::gen::inRange(0, 100);
      acceptReport(Record, loadOf(Calls, Lag), 0, at(1000));
      double Before = std::abs(Calls - MeanBacklog) + 1e-9;
      for (long long Ms = 1000 - Lag; Ms < 1600; Ms += 20) {
        const BacklogEstimate Got = expected(Record, 0, Ms);
        const double Distance = std::abs(Got.Calls_ - MeanBacklog);
        RC_ASSERT(Distance <= Before + 1e-9);
        RC_ASSERT((Calls - MeanBacklog) * (Got.Calls_ - MeanBacklog) >= 0);
        Before = Distance;
      }
      RC_ASSERT(expected(Record, 0, 1600).Calls_ == MeanBacklog);
    }));
  }

  void countsOwnCallsSinceTheReport() {
    ReportRecord Record;
    acceptReport(Record, loadOf(1), 0, at(100));
    recordSend(Record, at(101));
    recordSend(Record, at(102));
    CPPUNIT_ASSERT(expected(Record, 2, 102).Calls_ >= 3);
    CPPUNIT_ASSERT(expected(Record, 0, 102).Calls_ < 2);
  }

  void ignoresAReportThatNeverChanges() {
    ReportRecord Record;
    for (long long Ms = 0; Ms < 100; ++Ms)
      acceptReport(Record, loadOf(0), 0, at(Ms));
    CPPUNIT_ASSERT_EQUAL(MeanBacklog, expected(Record, 0, 100).Calls_);
    acceptReport(Record, loadOf(5), 0, at(100));
    CPPUNIT_ASSERT_EQUAL(5.0, expected(Record, 0, 100).Calls_);
  }

  void provesAReportWrongThatLacksOwnCalls() {
    ReportRecord Honest;
    ReportRecord Outdated;
    bool HonestProvedWrong = false;
    bool OutdatedProvedWrong = false;
    for (ReportRecord *Record : {&Honest, &Outdated})
      for (long long Ms = 0; Ms < 3; ++Ms)
        recordSend(*Record, at(Ms));
    for (long long Ms = 30; Ms < 80; Ms += 10) {
      HonestProvedWrong |= acceptReport(Honest, loadOf(3), 3, at(Ms));
      OutdatedProvedWrong |= acceptReport(Outdated, loadOf(0), 3, at(Ms));
    }
    CPPUNIT_ASSERT(!HonestProvedWrong);
    CPPUNIT_ASSERT(OutdatedProvedWrong);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WeighingReports);

} // namespace
