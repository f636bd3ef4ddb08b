#include "policy/admission.h"
#include "policy/fleet.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

model::Route routeWith(model::Priority Priority) {
  model::Route Out = searchRoute();
  Out.Priority_ = Priority;
  Out.Objective_ = model::milliseconds(200);
  return Out;
}

class ACallThatCannotBeInTime : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ACallThatCannotBeInTime);
  CPPUNIT_TEST(isRefusedAtOnceWhenAllServersAreBusy);
  CPPUNIT_TEST(isSentWhileAnyServerHasASlot);
  CPPUNIT_TEST(isSentWhenNothingNewIsKnown);
  CPPUNIT_TEST(isSentLongerWhenItIsUrgent);
  CPPUNIT_TEST(isSentWhereTheRuleIsOff);
  CPPUNIT_TEST(isRefusedWhenTooLittleTimeIsLeft);
  CPPUNIT_TEST(isSentAfterASpellOfSlowAnswers);
  CPPUNIT_TEST_SUITE_END();

  std::shared_ptr<BalancerState> Balancer_ =
      makeBalancer("milano-a", 1, /*Seed=*/7, 0);

  /// Two servers of three slots whose answers usually take 100 ms.
  void start(double Slack) {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Queue_.ObjectiveSlack_ = Slack;
    Preset.Measuring_.ReportRelaxation_ = model::milliseconds(60);
    apply(*Balancer_, viewOf(2, 3, Preset, /*FleetSize=*/1), at(0));
    for (int I = 0; I < 60; ++I) {
      const CallFacts Call =
          callAt(1000 + I, at(I), routeWith(model::Priority::Normal));
      const Decision Made = admit(*Balancer_, Call, at(I));
      endAttempt(*Balancer_, Call, Made.Server_, AttemptEnd::Answered,
                 model::milliseconds(100), at(I));
    }
  }

  void report(const std::string &Name, unsigned Running, unsigned Waiting,
              model::TimePoint Now) {
    model::LoadReport Report;
    Report.InFlight_ = Running;
    Report.Queued_ = Waiting;
    Report.Slots_ = 3;
    noteReport(*Balancer_, *findServer(*Balancer_, Name, "vm-" + Name), Report,
               Now);
  }

  Decision ask(model::Priority Priority, model::TimePoint Now) {
    return admit(*Balancer_, callAt(1, Now, routeWith(Priority)), Now);
  }

public:
  void isRefusedAtOnceWhenAllServersAreBusy() {
    start(0.7);
    report("s0", 3, 6, at(1000));
    report("s1", 3, 6, at(1000));
    const Decision Made = ask(model::Priority::Normal, at(1000));
    CPPUNIT_ASSERT(Made.Verdict_ == Verdict::Refuse);
    CPPUNIT_ASSERT(Made.Reason_ == model::ResultCode::NotRunOverload);
  }

  void isSentWhileAnyServerHasASlot() {
    start(0.7);
    report("s0", 3, 6, at(1000));
    report("s1", 2, 0, at(1000));
    const Decision Made = ask(model::Priority::Normal, at(1000));
    CPPUNIT_ASSERT(Made.Verdict_ == Verdict::Dispatch);
    CPPUNIT_ASSERT_EQUAL(std::string("s1"),
                         serverOf(*Balancer_, Made.Server_).Name_);
  }

  void isSentWhenNothingNewIsKnown() {
    start(0.7);
    report("s0", 3, 6, at(1000));
    report("s1", 3, 6, at(1000));
    CPPUNIT_ASSERT(ask(model::Priority::Normal, at(1200)).Verdict_ !=
                   Verdict::Refuse);
  }

  /// With all slots of each server busy, a call takes 200 ms or twice the
  /// usual: past 0.7 objectives, and within 1.5 times that.
  void isSentLongerWhenItIsUrgent() {
    start(0.7);
    report("s0", 3, 0, at(1000));
    report("s1", 3, 0, at(1000));
    CPPUNIT_ASSERT(ask(model::Priority::Normal, at(1000)).Verdict_ ==
                   Verdict::Refuse);
    CPPUNIT_ASSERT(ask(model::Priority::Urgent, at(1000)).Verdict_ !=
                   Verdict::Refuse);
  }

  void isSentWhereTheRuleIsOff() {
    start(0);
    report("s0", 3, 6, at(1000));
    report("s1", 3, 6, at(1000));
    CPPUNIT_ASSERT(ask(model::Priority::Normal, at(1000)).Verdict_ !=
                   Verdict::Refuse);
  }

  /// It has waited for something else, such as a fresh view.
  void isRefusedWhenTooLittleTimeIsLeft() {
    start(0);
    CallFacts Call = callAt(1, at(900), routeWith(model::Priority::Normal));
    Call.Deadline_ = at(1040); // answers usually take 100 ms
    const Decision Late = admit(*Balancer_, Call, at(1000));
    CPPUNIT_ASSERT(Late.Verdict_ == Verdict::Refuse);
    CPPUNIT_ASSERT(Late.Reason_ == model::ResultCode::NotRunDeadline);
    Call.Deadline_ = at(1090);
    CPPUNIT_ASSERT(admit(*Balancer_, Call, at(1000)).Verdict_ ==
                   Verdict::Dispatch);
  }

  /// Else no answer would ever show that servers are well again.
  void isSentAfterASpellOfSlowAnswers() {
    start(0);
    for (int I = 0; I < 60; ++I) {
      const CallFacts Call =
          callAt(2000 + I, at(100 + I), routeWith(model::Priority::Normal));
      const Decision Made = admit(*Balancer_, Call, at(100 + I));
      endAttempt(*Balancer_, Call, Made.Server_, AttemptEnd::Answered,
                 model::milliseconds(30000), at(100 + I));
    }
    CallFacts Call = callAt(1, at(1000), routeWith(model::Priority::Normal));
    Call.Deadline_ = at(1800);
    CPPUNIT_ASSERT(admit(*Balancer_, Call, at(1000)).Verdict_ ==
                   Verdict::Dispatch);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ACallThatCannotBeInTime);

} // namespace
