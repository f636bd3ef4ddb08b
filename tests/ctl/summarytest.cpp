#include "fleetsummary.h"
#include "waiting.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using ctl::FleetSummary;
using ctl::ProcessReply;

namespace {

/// Reply of an entry VM that has a version in force and calls in flight at one
/// server.
ProcessReply makeReply(const std::string &Process, std::uint64_t Version,
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

/// Reply of an entry VM that could not be reached.
ProcessReply makeFailedReply(const std::string &Process) {
  ProcessReply Out;
  Out.Process_ = Process;
  return Out;
}

class TheSummaryOfAFleet : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheSummaryOfAFleet);
  CPPUNIT_TEST(reportsALeavingServerWithoutCallsAsSafe);
  CPPUNIT_TEST(waitsForCallsInFlight);
  CPPUNIT_TEST(waitsForVmsWithAnOlderVersion);
  CPPUNIT_TEST(waitsForVmsThatDoNotAnswer);
  CPPUNIT_TEST(waitsForVmsThatAreOnlyInTheVmList);
  CPPUNIT_TEST(distinguishesAReplacementVmFromTheLeavingOne);
  CPPUNIT_TEST_SUITE_END();

  static bool isSafe(const std::vector<ProcessReply> &Replies) {
    const FleetSummary Summary = ctl::summarize(Replies);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Summary.Leaving_.size());
    return Summary.Leaving_[0].SafeToSwitchOff_;
  }

public:
  void reportsALeavingServerWithoutCallsAsSafe() {
    CPPUNIT_ASSERT(
        isSafe({makeReply("a", 7, 0, true), makeReply("b", 7, 0, true)}));
  }

  void waitsForCallsInFlight() {
    CPPUNIT_ASSERT(
        !isSafe({makeReply("a", 7, 0, true), makeReply("b", 7, 1, true)}));
  }

  void waitsForVmsWithAnOlderVersion() {
    CPPUNIT_ASSERT(
        !isSafe({makeReply("a", 7, 0, true), makeReply("b", 6, 0, false)}));
  }

  void waitsForVmsThatDoNotAnswer() {
    CPPUNIT_ASSERT(!isSafe({makeReply("a", 7, 0, true),
                            makeReply("b", 7, 0, true), makeFailedReply("c")}));
  }

  void waitsForVmsThatAreOnlyInTheVmList() {
    CPPUNIT_ASSERT(!isSafe({makeReply("a", 7, 0, true)}));
  }

  void distinguishesAReplacementVmFromTheLeavingOne() {
    ProcessReply Replaced = makeReply("b", 8, 5, false);
    Replaced.Status_->Servers_[0].Vm_ = "vm-r1-new";
    Replaced.Status_->Servers_.push_back({"rights-1", "vm-r1", 0, 0, true});
    const FleetSummary Summary =
        ctl::summarize({makeReply("a", 8, 0, true), Replaced});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Summary.Leaving_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("vm-r1"), Summary.Leaving_[0].Vm_);
    CPPUNIT_ASSERT(Summary.Leaving_[0].SafeToSwitchOff_);
  }
};

class WaitingForAServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitingForAServer);
  CPPUNIT_TEST(endsWhenEveryVmIsDone);
  CPPUNIT_TEST(continuesWhileAVmIsBehindBusyOrUnreachable);
  CPPUNIT_TEST(neverEndsWithoutAnyAnswer);
  CPPUNIT_TEST_SUITE_END();

  static bool isDone(const std::vector<ProcessReply> &Replies) {
    return ctl::isDone(ctl::measureProgress(Replies, 7, {"rights-1", "vm-r1"}));
  }

public:
  void endsWhenEveryVmIsDone() {
    CPPUNIT_ASSERT(
        isDone({makeReply("a", 7, 0, true), makeReply("b", 9, 0, true)}));
  }

  void continuesWhileAVmIsBehindBusyOrUnreachable() {
    CPPUNIT_ASSERT(
        !isDone({makeReply("a", 7, 0, true), makeReply("b", 6, 0, true)}));
    CPPUNIT_ASSERT(
        !isDone({makeReply("a", 7, 0, true), makeReply("b", 7, 3, true)}));
    CPPUNIT_ASSERT(!isDone({makeReply("a", 7, 0, true), makeFailedReply("b")}));
  }

  void neverEndsWithoutAnyAnswer() {
    CPPUNIT_ASSERT(!isDone({}));
    CPPUNIT_ASSERT(!isDone({makeFailedReply("a")}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TheSummaryOfAFleet);
CPPUNIT_TEST_SUITE_REGISTRATION(WaitingForAServer);

} // namespace
