#include "policy/fleet.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

const std::vector<AttemptEnd> EndsAfterBytesSent = {
    AttemptEnd::Answered, AttemptEnd::AnsweredError, AttemptEnd::Broken,
    AttemptEnd::TimedOut, AttemptEnd::Cancelled};

const std::vector<AttemptEnd> EndsWithoutRun = {
    AttemptEnd::Shed, AttemptEnd::Draining, AttemptEnd::ConnectFailed,
    AttemptEnd::Withdrawn};

class RunningAtMostOnce : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunningAtMostOnce);
  CPPUNIT_TEST(neverRetriesAfterBytesWereSent);
  CPPUNIT_TEST(neverHedgesANonIdempotentCall);
  CPPUNIT_TEST(retriesACallThatCertainlyDidNotRun);
  CPPUNIT_TEST(retriesAnIdempotentCallThatBroke);
  CPPUNIT_TEST(neverRetriesAfterAnAnswerOrADisconnect);
  CPPUNIT_TEST(stopsAtTheAttemptLimitAndTheDeadline);
  CPPUNIT_TEST(doesNotCountWithdrawnAttemptsTowardsTheLimit);
  CPPUNIT_TEST_SUITE_END();

  /// Returns a balancer with full retry and hedge budgets and known latencies.
  static std::shared_ptr<BalancerState>
  balancerWithFullBudgets(std::uint64_t Seed) {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Retry_.Ratio_ = 1;
    Preset.Hedge_.Ratio_ = 1;
    auto State = makeBalancer("milano-a", 1, Seed);
    apply(*State, viewOf(9, 3, Preset, 1), at(0));
    for (CallId Id = 1000; Id < 1100; ++Id) {
      const CallFacts Call =
          callAt(Id, at(0), Id % 2 == 0 ? searchRoute() : licenceRoute());
      const Decision Made = admit(*State, Call, at(0));
      endAttempt(*State, Call, Made.Server_, AttemptEnd::Answered,
                 model::milliseconds(1), at(0));
    }
    return State;
  }

  /// Returns a call of the route after its first attempt was sent.
  static CallFacts sentCall(BalancerState &State, const model::Route &Route) {
    CallFacts Call = callAt(1, at(0), Route);
    const Decision Made = admit(State, Call, at(0));
    Call.Attempts_ = 1;
    Call.Tried_ = {Made.Server_};
    return Call;
  }

public:
  void neverRetriesAfterBytesWereSent() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto State =
          balancerWithFullBudgets(*rc::gen::arbitrary<unsigned>());
      CallFacts Call = sentCall(*State, licenceRoute());
      Call.Nested_ = *rc::gen::arbitrary<bool>();
      const auto End = *rc::gen::elementOf(EndsAfterBytesSent);
      const auto Now = at(*rc::gen::inRange(0, 299));
      RC_ASSERT(!tryRetry(*State, Call, End, Now));
    }));
  }

  void neverHedgesANonIdempotentCall() {
    const auto State = balancerWithFullBudgets(1);
    const CallFacts Licence = sentCall(*State, licenceRoute());
    CPPUNIT_ASSERT(!hedgeTime(*State, Licence, at(0)));
    CPPUNIT_ASSERT(!tryHedge(*State, Licence, at(50)));
    const CallFacts Search = sentCall(*State, searchRoute());
    CPPUNIT_ASSERT(hedgeTime(*State, Search, at(0)).has_value());
    CPPUNIT_ASSERT(tryHedge(*State, Search, at(50)).has_value());
  }

  void retriesACallThatCertainlyDidNotRun() {
    for (const AttemptEnd End : EndsWithoutRun) {
      const auto State = balancerWithFullBudgets(1);
      const CallFacts Call = sentCall(*State, licenceRoute());
      CPPUNIT_ASSERT(tryRetry(*State, Call, End, at(10)));
    }
  }

  void retriesAnIdempotentCallThatBroke() {
    const auto State = balancerWithFullBudgets(1);
    const CallFacts Call = sentCall(*State, searchRoute());
    CPPUNIT_ASSERT(tryRetry(*State, Call, AttemptEnd::Broken, at(10)));
  }

  void neverRetriesAfterAnAnswerOrADisconnect() {
    const auto State = balancerWithFullBudgets(1);
    const CallFacts Call = sentCall(*State, searchRoute());
    CPPUNIT_ASSERT(!tryRetry(*State, Call, AttemptEnd::Answered, at(10)));
    CPPUNIT_ASSERT(!tryRetry(*State, Call, AttemptEnd::Cancelled, at(10)));
  }

  void stopsAtTheAttemptLimitAndTheDeadline() {
    const auto State = balancerWithFullBudgets(1);
    CallFacts Call = sentCall(*State, searchRoute());
    CPPUNIT_ASSERT(!tryRetry(*State, Call, AttemptEnd::Shed, at(300)));
    Call.Attempts_ = 3;
    CPPUNIT_ASSERT(!tryRetry(*State, Call, AttemptEnd::Shed, at(10)));
  }

  void doesNotCountWithdrawnAttemptsTowardsTheLimit() {
    const auto State = balancerWithFullBudgets(1);
    CallFacts Call = sentCall(*State, searchRoute());
    Call.Attempts_ = 4;
    Call.Withdrawn_ = 2;
    CPPUNIT_ASSERT(tryRetry(*State, Call, AttemptEnd::Withdrawn, at(10)));
    CPPUNIT_ASSERT(tryRetry(*State, Call, AttemptEnd::Shed, at(10)));
    Call.Withdrawn_ = 1;
    CPPUNIT_ASSERT(!tryRetry(*State, Call, AttemptEnd::Shed, at(10)));
    Call.Attempts_ = Call.Withdrawn_ = 100;
    CPPUNIT_ASSERT(!tryRetry(*State, Call, AttemptEnd::Withdrawn, at(10)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RunningAtMostOnce);

} // namespace
