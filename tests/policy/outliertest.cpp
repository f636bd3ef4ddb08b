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

class LeavingAFailingServerOut : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingAFailingServerOut);
  CPPUNIT_TEST(sendsItNothingWhileItIsEjected);
  CPPUNIT_TEST(looksBadThoughItAnswersFast);
  CPPUNIT_TEST(neverEjectsMoreThanTheCeiling);
  CPPUNIT_TEST(stillServesWhenEveryServerFails);
  CPPUNIT_TEST(letsItBackAfterAFewGoodAnswers);
  CPPUNIT_TEST(isNotMovedByCallersInTooGreatAHurry);
  CPPUNIT_TEST_SUITE_END();

  static std::shared_ptr<BalancerState> balancer(unsigned Servers) {
    auto State = makeBalancer("milano-a", 1, 11);
    apply(*State,
          viewOf(Servers, 3, presetWith(model::PickMethod::ExpectedWait), 1),
          at(0));
    return State;
  }

  /// One call at \p Now that ends at once; failed servers answer an error.
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
  void sendsItNothingWhileItIsEjected() {
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

  /// Before any ejection, errors alone must drive calls away.
  void looksBadThoughItAnswersFast() {
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

  void stillServesWhenEveryServerFails() {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Ejection_.MaxEjectedShare_ = 1;
    const auto State = makeBalancer("milano-a", 1, 11);
    apply(*State, viewOf(3, 3, Preset, 1), at(0));
    for (CallId Id = 0; Id < 200; ++Id)
      CPPUNIT_ASSERT(callOnce(*State, Id, at(0), {0, 1, 2}) != NoServer);
    CPPUNIT_ASSERT(counted(*State, ChoiceReason::LastResort) > 0);
  }

  void letsItBackAfterAFewGoodAnswers() {
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

  /// Calls whose time ends before a usual answer eject no server; calls that
  /// waited far longer than usual do.
  void isNotMovedByCallersInTooGreatAHurry() {
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
CPPUNIT_TEST_SUITE_REGISTRATION(LeavingAFailingServerOut);

class WeighingReports : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeighingReports);
  CPPUNIT_TEST(fadesTowardsTheUsualWithAge);
  CPPUNIT_TEST(countsOwnSendsSinceThen);
  CPPUNIT_TEST(ignoresAReportThatNeverChanges);
  CPPUNIT_TEST(provesAReportWrongThatLeavesOwnCallsOut);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double Usual = 2;

  static model::LoadReport loadOf(unsigned Calls, long long AgeMs = 0) {
    model::LoadReport Report;
    Report.InFlight_ = Calls;
    Report.Age_ = model::milliseconds(AgeMs);
    return Report;
  }

  static BacklogEstimate expected(const ReportMemory &Memory, unsigned Own,
                                  long long Ms) {
    return expectedBacklog(Memory, Usual, Own,
                           {model::milliseconds(10), model::milliseconds(500)},
                           at(Ms));
  }

public:
  void fadesTowardsTheUsualWithAge() {
    CPPUNIT_ASSERT(rc::check([] {
      ReportMemory Memory;
      const unsigned Calls = *rc::gen::inRange(0u, 20u);
      const long long Lag = *rc::gen::inRange(0, 100);
      takeReport(Memory, loadOf(Calls, Lag), 0, at(1000));
      double Before = std::abs(Calls - Usual) + 1e-9;
      for (long long Ms = 1000 - Lag; Ms < 1600; Ms += 20) {
        const BacklogEstimate Got = expected(Memory, 0, Ms);
        const double Distance = std::abs(Got.Calls_ - Usual);
        RC_ASSERT(Distance <= Before + 1e-9);
        RC_ASSERT((Calls - Usual) * (Got.Calls_ - Usual) >= 0);
        Before = Distance;
      }
      RC_ASSERT(expected(Memory, 0, 1600).Calls_ == Usual);
    }));
  }

  void countsOwnSendsSinceThen() {
    ReportMemory Memory;
    takeReport(Memory, loadOf(1), 0, at(100));
    noteSend(Memory, at(101));
    noteSend(Memory, at(102));
    CPPUNIT_ASSERT(expected(Memory, 2, 102).Calls_ >= 3);
    CPPUNIT_ASSERT(expected(Memory, 0, 102).Calls_ < 2);
  }

  void ignoresAReportThatNeverChanges() {
    ReportMemory Memory;
    for (long long Ms = 0; Ms < 100; ++Ms)
      takeReport(Memory, loadOf(0), 0, at(Ms));
    CPPUNIT_ASSERT_EQUAL(Usual, expected(Memory, 0, 100).Calls_);
    takeReport(Memory, loadOf(5), 0, at(100));
    CPPUNIT_ASSERT_EQUAL(5.0, expected(Memory, 0, 100).Calls_);
  }

  void provesAReportWrongThatLeavesOwnCallsOut() {
    ReportMemory Honest;
    ReportMemory Late;
    bool HonestProved = false;
    bool LateProved = false;
    for (ReportMemory *Memory : {&Honest, &Late})
      for (long long Ms = 0; Ms < 3; ++Ms)
        noteSend(*Memory, at(Ms));
    for (long long Ms = 30; Ms < 80; Ms += 10) {
      HonestProved |= takeReport(Honest, loadOf(3), 3, at(Ms));
      LateProved |= takeReport(Late, loadOf(0), 3, at(Ms));
    }
    CPPUNIT_ASSERT(!HonestProved);
    CPPUNIT_ASSERT(LateProved);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WeighingReports);

} // namespace
