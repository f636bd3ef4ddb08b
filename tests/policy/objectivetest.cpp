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

class ACallThatWouldBeLate : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ACallThatWouldBeLate);
  CPPUNIT_TEST(isRefusedAtOnceWhenAllServersAreBusy);
  CPPUNIT_TEST(isSentWhileAnyServerHasASlot);
  CPPUNIT_TEST(isSentWithoutRecentReports);
  CPPUNIT_TEST(isAllowedMoreTimeWhenItIsUrgent);
  CPPUNIT_TEST(isSentWhenTheObjectiveRuleIsOff);
  CPPUNIT_TEST(isRefusedWhenTooLittleTimeIsLeft);
  CPPUNIT_TEST(isSentAfterAPeriodOfSlowAnswers);
  CPPUNIT_TEST_SUITE_END();

  std::shared_ptr<BalancerState> Balancer_ =
      makeBalancer("milano-a", 1, /*Seed=*/7, 0);

  /// Sets up two servers of three slots each whose mean latency is 100 ms.
  void setUpBalancer(double Slack) {
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
    recordReport(*Balancer_, *findServer(*Balancer_, Name, "vm-" + Name),
                 Report, Now);
  }

  Decision admitAt(model::Priority Priority, model::TimePoint Now) {
    return admit(*Balancer_, callAt(1, Now, routeWith(Priority)), Now);
  }

public:
  void isRefusedAtOnceWhenAllServersAreBusy() {
    setUpBalancer(0.7);
    report("s0", 3, 6, at(1000));
    report("s1", 3, 6, at(1000));
    const Decision Made = admitAt(model::Priority::Normal, at(1000));
    CPPUNIT_ASSERT(Made.Verdict_ == Verdict::Refuse);
    CPPUNIT_ASSERT(Made.Reason_ == model::ResultCode::NotRunOverload);
  }

  void isSentWhileAnyServerHasASlot() {
    setUpBalancer(0.7);
    report("s0", 3, 6, at(1000));
    report("s1", 2, 0, at(1000));
    const Decision Made = admitAt(model::Priority::Normal, at(1000));
    CPPUNIT_ASSERT(Made.Verdict_ == Verdict::Dispatch);
    CPPUNIT_ASSERT_EQUAL(std::string("s1"),
                         serverOf(*Balancer_, Made.Server_).Name_);
  }

  void isSentWithoutRecentReports() {
    setUpBalancer(0.7);
    report("s0", 3, 6, at(1000));
    report("s1", 3, 6, at(1000));
    CPPUNIT_ASSERT(admitAt(model::Priority::Normal, at(1200)).Verdict_ !=
                   Verdict::Refuse);
  }

  /// With all slots of both servers busy a call takes 200 ms, twice the mean:
  /// more than 0.7 objectives, but less than 1.5 times that.
  void isAllowedMoreTimeWhenItIsUrgent() {
    setUpBalancer(0.7);
    report("s0", 3, 0, at(1000));
    report("s1", 3, 0, at(1000));
    CPPUNIT_ASSERT(admitAt(model::Priority::Normal, at(1000)).Verdict_ ==
                   Verdict::Refuse);
    CPPUNIT_ASSERT(admitAt(model::Priority::Urgent, at(1000)).Verdict_ !=
                   Verdict::Refuse);
  }

  void isSentWhenTheObjectiveRuleIsOff() {
    setUpBalancer(0);
    report("s0", 3, 6, at(1000));
    report("s1", 3, 6, at(1000));
    CPPUNIT_ASSERT(admitAt(model::Priority::Normal, at(1000)).Verdict_ !=
                   Verdict::Refuse);
  }

  /// The call has spent most of its time elsewhere, such as waiting for a
  /// recent view.
  void isRefusedWhenTooLittleTimeIsLeft() {
    setUpBalancer(0);
    CallFacts Call = callAt(1, at(900), routeWith(model::Priority::Normal));
    Call.Deadline_ = at(1040); // the mean latency is 100 ms
    const Decision Late = admit(*Balancer_, Call, at(1000));
    CPPUNIT_ASSERT(Late.Verdict_ == Verdict::Refuse);
    CPPUNIT_ASSERT(Late.Reason_ == model::ResultCode::NotRunDeadline);
    Call.Deadline_ = at(1090);
    CPPUNIT_ASSERT(admit(*Balancer_, Call, at(1000)).Verdict_ ==
                   Verdict::Dispatch);
  }

  /// Guards against refusing all calls after a period of slow answers: then no
  /// answer would ever lower the mean latency again.
  void isSentAfterAPeriodOfSlowAnswers() {
    setUpBalancer(0);
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
CPPUNIT_TEST_SUITE_REGISTRATION(ACallThatWouldBeLate);

} // namespace
