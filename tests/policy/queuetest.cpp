#include "policy/admissionqueue.h"
#include "policy/balancerstate.h"
#include "policy/fleet.h"
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

CallFacts waitingCall(CallId Id, unsigned Class, const std::string &Caller,
                      long long DeadlineMs) {
  CallFacts Call = callAt(Id, at(0), searchRoute(), Caller);
  Call.Route_.Priority_ = static_cast<model::Priority>(Class);
  Call.Deadline_ = at(DeadlineMs);
  return Call;
}

/// Removes and returns the next call, as the balancer does when any call may
/// go.
CallFacts takeNextOfAnyClass(AdmissionQueue &Queue) {
  for (const unsigned Class : classOrder(Queue))
    if (nextOf(Queue, Class))
      return takeNext(Queue, Class);
  throw std::logic_error("the queue is empty");
}

/// Returns random calls of several classes and callers.
std::vector<CallFacts> randomCalls() {
  const unsigned Count = *rc::gen::inRange(1u, 150u);
  std::vector<CallFacts> Calls;
  for (CallId Id = 0; Id < Count; ++Id)
    Calls.push_back(
        waitingCall(Id, *rc::gen::inRange(0u, PriorityClasses),
                    "caller" + std::to_string(*rc::gen::inRange(0, 5)),
                    *rc::gen::inRange(1, 1000)));
  return Calls;
}

class WaitingInTheQueue : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingInTheQueue);
  CPPUNIT_TEST(returnsEveryCallOnce);
  CPPUNIT_TEST(servesTheEarliestDeadlineOfACallerFirst);
  CPPUNIT_TEST(servesCallersOfAClassInTurn);
  CPPUNIT_TEST(servesUrgentCallsFirst);
  CPPUNIT_TEST(doesNotStarvePatientCalls);
  CPPUNIT_TEST(refusesOverdueCallsInsteadOfSendingThem);
  CPPUNIT_TEST(refusesCallsThatWouldWaitTooLong);
  CPPUNIT_TEST(limitsTheQueueShareOfACaller);
  CPPUNIT_TEST(evictsAPatientCallForAnUrgentOne);
  CPPUNIT_TEST(refusesInAdvanceOnlyWhatIsRefusedAnyway);
  CPPUNIT_TEST_SUITE_END();

public:
  void returnsEveryCallOnce() {
    CPPUNIT_ASSERT(rc::check([] {
      AdmissionQueue Queue;
      std::map<CallId, unsigned> Expected;
      for (const CallFacts &Call : randomCalls()) {
        push(Queue, Call);
        ++Expected[Call.Call_];
        if (*rc::gen::inRange(0, 4) == 0) {
          RC_ASSERT(removeCall(Queue, Call.Call_));
          RC_ASSERT(!removeCall(Queue, Call.Call_));
          Expected.erase(Call.Call_);
        }
      }
      while (sizeOf(Queue) > 0)
        RC_ASSERT(Expected.erase(takeNextOfAnyClass(Queue).Call_) == 1);
      RC_ASSERT(Expected.empty());
    }));
  }

  void servesTheEarliestDeadlineOfACallerFirst() {
    CPPUNIT_ASSERT(rc::check([] {
      AdmissionQueue Queue;
      for (const CallFacts &Call : randomCalls())
        push(Queue, Call);
      std::map<std::pair<unsigned, std::string>, model::TimePoint> Last;
      while (sizeOf(Queue) > 0) {
        const CallFacts Call = takeNextOfAnyClass(Queue);
        model::TimePoint &Before = Last[{classOf(Call), Call.Caller_}];
        RC_ASSERT(Before <= Call.Deadline_);
        Before = Call.Deadline_;
      }
    }));
  }

  /// While a caller waits, no other caller of its class is served twice before
  /// it.
  void servesCallersOfAClassInTurn() {
    CPPUNIT_ASSERT(rc::check([] {
      AdmissionQueue Queue;
      const unsigned Burst = *rc::gen::inRange(1u, 100u);
      const unsigned Few = *rc::gen::inRange(1u, 5u);
      CallId Id = 0;
      for (unsigned I = 0; I < Burst; ++I)
        push(Queue, waitingCall(++Id, 0, "greedy", 10));
      for (unsigned I = 0; I < Few; ++I)
        push(Queue, waitingCall(++Id, 0, "modest", 1000));
      unsigned Greedy = 0;
      unsigned Modest = 0;
      while (Modest < Few) {
        (takeNextOfAnyClass(Queue).Caller_ == "greedy" ? Greedy : Modest) += 1;
        RC_ASSERT(Greedy <= Modest + 1);
      }
    }));
  }

  void servesUrgentCallsFirst() {
    CPPUNIT_ASSERT(rc::check([] {
      AdmissionQueue Queue;
      const unsigned Each = *rc::gen::inRange(1u, 80u);
      for (CallId Id = 0; Id < Each; ++Id)
        for (unsigned Class = PriorityClasses; Class-- > 0;)
          push(Queue, waitingCall(Id * PriorityClasses + Class, Class, "c", 9));
      unsigned Served[PriorityClasses] = {};
      while (Served[0] < Each) {
        ++Served[classOf(takeNextOfAnyClass(Queue))];
        RC_ASSERT(Served[1] <= Served[0] / 4 + 1);
        RC_ASSERT(Served[2] <= Served[0] / 16 + 1);
      }
    }));
  }

  /// Urgent calls keep arriving; each patient call must still get its turn.
  void doesNotStarvePatientCalls() {
    AdmissionQueue Queue;
    CallId Id = 0;
    for (; Id < 10; ++Id)
      push(Queue, waitingCall(Id, 2, "auditor", 100000));
    unsigned Patient = 0;
    for (unsigned Step = 0; Step < 400; ++Step) {
      push(Queue, waitingCall(++Id + 100, 0, "editor", 100));
      push(Queue, waitingCall(++Id + 100, 1, "editor", 100));
      Patient += classOf(takeNextOfAnyClass(Queue)) == 2;
    }
    CPPUNIT_ASSERT_EQUAL(10u, Patient);
  }

  void refusesOverdueCallsInsteadOfSendingThem() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto State = oneBusyServer();
      std::map<CallId, model::TimePoint> Deadlines;
      for (CallId Id = 1; Id <= 40; ++Id) {
        CallFacts Call = callAt(Id, at(0));
        Call.Deadline_ = at(*rc::gen::inRange(1, 300));
        if (admit(*State, Call, at(0)).Verdict_ == Verdict::Wait)
          Deadlines[Id] = Call.Deadline_;
      }
      for (long long Ms = 0; Ms <= 400; Ms += 5)
        for (const Release &One : releaseWaiting(*State, at(Ms))) {
          const bool Sent = One.Decision_.Verdict_ == Verdict::Dispatch;
          RC_ASSERT(!Sent || at(Ms) < Deadlines.at(One.Call_));
          RC_ASSERT(Sent ||
                    One.Decision_.Reason_ == model::ResultCode::NotRunDeadline);
          // The refusal comes less than 10 ms after the deadline.
          RC_ASSERT(at(Ms) < Deadlines.at(One.Call_) + model::milliseconds(10));
          Deadlines.erase(One.Call_);
        }
      RC_ASSERT(Deadlines.empty());
    }));
  }

  void refusesCallsThatWouldWaitTooLong() {
    const auto State = oneBusyServer();
    model::ResultCode Reason = model::ResultCode::Ok;
    for (CallId Id = 1; Id <= 60 && Reason == model::ResultCode::Ok; ++Id) {
      const std::string Caller = "caller" + std::to_string(Id);
      Reason = admit(*State, callAt(Id, at(0), searchRoute(), Caller), at(0))
                   .Reason_;
    }
    // A call takes 10 ms and has 300 ms to its deadline, so about 20 can wait
    // but not 60.
    CPPUNIT_ASSERT(Reason == model::ResultCode::NotRunOverload);
  }

  void limitsTheQueueShareOfACaller() {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Queue_.MaxQueued_ = 8;
    const auto State = oneBusyServer(Preset);
    unsigned Waiting = 0;
    model::ResultCode Reason = model::ResultCode::Ok;
    for (CallId Id = 1; Id <= 8; ++Id) {
      const Decision Made = admit(*State, callAt(Id, at(0)), at(0));
      Waiting += Made.Verdict_ == Verdict::Wait;
      Reason = Made.Reason_;
    }
    CPPUNIT_ASSERT_EQUAL(4u, Waiting);
    CPPUNIT_ASSERT(Reason == model::ResultCode::NotRunCallerShare);
  }

  void evictsAPatientCallForAnUrgentOne() {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Queue_.MaxQueued_ = 1;
    const auto State = oneBusyServer(Preset);
    model::Route Patient = searchRoute();
    Patient.Priority_ = model::Priority::Patient;
    const auto First = admit(*State, callAt(1, at(0), Patient), at(0));
    const auto Second =
        admit(*State, callAt(2, at(0), searchRoute(), "other"), at(0));
    CPPUNIT_ASSERT(First.Verdict_ == Verdict::Wait);
    CPPUNIT_ASSERT(Second.Verdict_ == Verdict::Wait);
    const std::vector<Release> Ended = releaseWaiting(*State, at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Ended.size());
    CPPUNIT_ASSERT_EQUAL(CallId{1}, Ended[0].Call_);
    CPPUNIT_ASSERT(Ended[0].Decision_.Reason_ ==
                   model::ResultCode::NotRunQueueFull);
  }

  void refusesInAdvanceOnlyWhatIsRefusedAnyway() {
    CPPUNIT_ASSERT(rc::check([] {
      model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
      Preset.Queue_.MaxQueued_ = *rc::gen::inRange(1u, 8u);
      const auto State = oneBusyServer(Preset);
      for (const CallFacts &Call : randomCalls()) {
        const unsigned QueuedBefore = State->Queued_;
        const auto Refusal = refuseInAdvance(*State, Call, at(0));
        RC_ASSERT(State->Queued_ == QueuedBefore);
        const Decision Made = admit(*State, Call, at(0));
        RC_ASSERT(!Refusal || Made.Verdict_ == Verdict::Refuse);
        RC_ASSERT(!Refusal || Made.Reason_ == Refusal->Reason_);
      }
    }));
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Queue_.MaxQueued_ = 1;
    const auto State = oneBusyServer(Preset);
    const CallFacts Second = callAt(2, at(0), searchRoute(), "other");
    CPPUNIT_ASSERT(!refuseInAdvance(*State, Second, at(0)));
    admit(*State, callAt(1, at(0)), at(0));
    CPPUNIT_ASSERT(refuseInAdvance(*State, Second, at(0))->Reason_ ==
                   model::ResultCode::NotRunQueueFull);
  }

private:
  /// Returns a balancer with one server whose only slot is busy. A call takes
  /// 10 ms.
  static std::shared_ptr<BalancerState> oneBusyServer(
      model::Preset Preset = presetWith(model::PickMethod::ExpectedWait)) {
    Preset.Servers_.InFlightPerSlot_ = 1;
    auto State = makeBalancer("milano-a", 1, 3);
    apply(*State, viewOf(1, 1, Preset, 1), at(0));
    const CallFacts Warm = callAt(1000, at(0), searchRoute(), "warm");
    const Decision Made = admit(*State, Warm, at(0));
    endAttempt(*State, Warm, Made.Server_, AttemptEnd::Answered,
               model::milliseconds(10), at(0));
    admit(*State, callAt(1001, at(0), searchRoute(), "holder"), at(0));
    return State;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WaitingInTheQueue);

} // namespace
