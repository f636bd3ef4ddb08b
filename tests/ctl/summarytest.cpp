#include "fleetsummary.h"
#include "waiting.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using ctl::FleetSummary;
using ctl::ProcessReply;

namespace {

/// An entry VM that has a version in force and calls at one server.
ProcessReply answer(const std::string &Process, std::uint64_t Version,
                    unsigned InFlight, bool Leaving) {
  ProcessReply Out;
  Out.Process_ = Process;
  Out.Code_ = model::ResultCode::Ok;
  model::ProcessStatus Status;
  Status.Process_ = Process;
  Status.Version_ = Version;
  Status.FleetSize_ = 2;
  Status.Servers_ = {{"rights-1", "vm-r1", InFlight, 1, Leaving}};
  Out.Status_ = Status;
  return Out;
}

ProcessReply silence(const std::string &Process) {
  ProcessReply Out;
  Out.Process_ = Process;
  return Out;
}

class TheSummaryOfAFleet : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheSummaryOfAFleet);
  CPPUNIT_TEST(callsAQuietLeavingServerSafe);
  CPPUNIT_TEST(waitsForCallsInFlight);
  CPPUNIT_TEST(waitsForVmsThatDoNotKnowYet);
  CPPUNIT_TEST(waitsForVmsThatDoNotAnswer);
  CPPUNIT_TEST(waitsForVmsThatOnlyTheVmListKnows);
  CPPUNIT_TEST(tellsAReplacedVmFromTheOneThatLeft);
  CPPUNIT_TEST_SUITE_END();

  static bool isSafe(const std::vector<ProcessReply> &Replies) {
    const FleetSummary Sum = ctl::summarize(Replies);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sum.Leaving_.size());
    return Sum.Leaving_[0].SafeToSwitchOff_;
  }

public:
  void callsAQuietLeavingServerSafe() {
    CPPUNIT_ASSERT(isSafe({answer("a", 7, 0, true), answer("b", 7, 0, true)}));
  }

  void waitsForCallsInFlight() {
    CPPUNIT_ASSERT(!isSafe({answer("a", 7, 0, true), answer("b", 7, 1, true)}));
  }

  void waitsForVmsThatDoNotKnowYet() {
    CPPUNIT_ASSERT(
        !isSafe({answer("a", 7, 0, true), answer("b", 6, 0, false)}));
  }

  void waitsForVmsThatDoNotAnswer() {
    CPPUNIT_ASSERT(!isSafe(
        {answer("a", 7, 0, true), answer("b", 7, 0, true), silence("c")}));
  }

  void waitsForVmsThatOnlyTheVmListKnows() {
    CPPUNIT_ASSERT(!isSafe({answer("a", 7, 0, true)}));
  }

  void tellsAReplacedVmFromTheOneThatLeft() {
    ProcessReply Replaced = answer("b", 8, 5, false);
    Replaced.Status_->Servers_[0].Vm_ = "vm-r1-new";
    Replaced.Status_->Servers_.push_back({"rights-1", "vm-r1", 0, 0, true});
    const FleetSummary Sum =
        ctl::summarize({answer("a", 8, 0, true), Replaced});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sum.Leaving_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("vm-r1"), Sum.Leaving_[0].Vm_);
    CPPUNIT_ASSERT(Sum.Leaving_[0].SafeToSwitchOff_);
  }
};

class WaitingForAServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingForAServer);
  CPPUNIT_TEST(endsWhenEveryVmIsDone);
  CPPUNIT_TEST(goesOnWhileAVmIsBehindOrSilent);
  CPPUNIT_TEST(neverEndsOnNoAnswerAtAll);
  CPPUNIT_TEST_SUITE_END();

  static bool isDone(const std::vector<ProcessReply> &Replies) {
    return ctl::isDone(ctl::measureProgress(Replies, 7, {"rights-1", "vm-r1"}));
  }

public:
  void endsWhenEveryVmIsDone() {
    CPPUNIT_ASSERT(isDone({answer("a", 7, 0, true), answer("b", 9, 0, true)}));
  }

  void goesOnWhileAVmIsBehindOrSilent() {
    CPPUNIT_ASSERT(!isDone({answer("a", 7, 0, true), answer("b", 6, 0, true)}));
    CPPUNIT_ASSERT(!isDone({answer("a", 7, 0, true), answer("b", 7, 3, true)}));
    CPPUNIT_ASSERT(!isDone({answer("a", 7, 0, true), silence("b")}));
  }

  void neverEndsOnNoAnswerAtAll() {
    CPPUNIT_ASSERT(!isDone({}));
    CPPUNIT_ASSERT(!isDone({silence("a")}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TheSummaryOfAFleet);
CPPUNIT_TEST_SUITE_REGISTRATION(WaitingForAServer);

} // namespace
