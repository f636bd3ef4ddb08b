#include "control/freshness.h"
#include "fakefleet.h"
#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::fakes;
using model::milliseconds;
using model::seconds;

namespace {

class DispatchOfNewWork : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchOfNewWork);
  CPPUNIT_TEST(goesOnWhileTheStoreIsAway);
  CPPUNIT_TEST(goesOnInAFleetOfOneWithoutStore);
  CPPUNIT_TEST(goesOnInAFleetOfOneBetweenAnswersOfTheStore);
  CPPUNIT_TEST(stopsAFewSecondsAfterIsolation);
  CPPUNIT_TEST(waitsAfterAPauseForAnExchange);
  CPPUNIT_TEST(goesOnSoonAfterAPauseInAFleetOfOne);
  CPPUNIT_TEST(waitsWhenTheControlThreadStandsStill);
  CPPUNIT_TEST_SUITE_END();

public:
  void goesOnWhileTheStoreIsAway() {
    FakeFleet Fleet(6, 41);
    start(Fleet);
    Fleet.IsStoreUp_ = false;
    Fleet.run(seconds(600));
    for (unsigned I = 0; I < 6; ++I)
      CPPUNIT_ASSERT(Fleet.mayDispatch(I));
  }

  void goesOnInAFleetOfOneWithoutStore() {
    FakeFleet Fleet(1, 42);
    Fleet.Processes_[0].Settings_.SeedPeers_.clear();
    start(Fleet);
    CPPUNIT_ASSERT(Fleet.mayDispatch(0));
    Fleet.IsStoreUp_ = false;
    Fleet.run(seconds(600));
    CPPUNIT_ASSERT(Fleet.mayDispatch(0));
  }

  void goesOnInAFleetOfOneBetweenAnswersOfTheStore() {
    FakeFleet Fleet(1, 43);
    Fleet.Processes_[0].Settings_.SeedPeers_.clear();
    start(Fleet);
    constexpr unsigned Checks = 6000;
    for (unsigned I = 0; I < Checks; ++I) {
      Fleet.run(milliseconds(10));
      CPPUNIT_ASSERT(Fleet.mayDispatch(0));
    }
  }

  void stopsAFewSecondsAfterIsolation() {
    FakeFleet Fleet(6, 43);
    start(Fleet);
    Fleet.Processes_[2].Partition_ = 1;
    Fleet.Processes_[2].HasStore_ = false;
    Fleet.run(seconds(8));
    CPPUNIT_ASSERT(!Fleet.mayDispatch(2));
    Fleet.run(seconds(7200)); // no dispatch at any time while isolated
    CPPUNIT_ASSERT(!Fleet.mayDispatch(2));
    CPPUNIT_ASSERT(Fleet.mayDispatch(1));
    Fleet.Processes_[2].Partition_ = 0;
    Fleet.run(seconds(5));
    CPPUNIT_ASSERT(Fleet.mayDispatch(2));
  }

  void waitsAfterAPauseForAnExchange() {
    FakeFleet Fleet(6, 44);
    start(Fleet);
    Fleet.pause(2);
    Fleet.write(model::PutPreset{samples::preset("peak")}, "ops");
    Fleet.run(seconds(10));
    CPPUNIT_ASSERT(!Fleet.mayDispatch(2));
    Fleet.resume(2);
    CPPUNIT_ASSERT(!Fleet.mayDispatch(2) || Fleet.version(2) == 2);
    Fleet.run(milliseconds(500));
    CPPUNIT_ASSERT(Fleet.mayDispatch(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Fleet.version(2));
  }

  /// Callers wait until the process may dispatch again: a tenth of a second is
  /// little of their time.
  void goesOnSoonAfterAPauseInAFleetOfOne() {
    for (const unsigned Pause : {1, 4, 12, 60}) {
      FakeFleet Fleet(1, 45);
      Fleet.Processes_[0].Settings_.SeedPeers_.clear();
      start(Fleet);
      Fleet.pause(0);
      Fleet.run(seconds(Pause));
      Fleet.resume(0);
      Fleet.run(milliseconds(100));
      CPPUNIT_ASSERT(Fleet.mayDispatch(0));
    }
  }

  void waitsWhenTheControlThreadStandsStill() {
    FreshnessFacts Facts;
    Facts.LastStep_ = model::TimePoint(seconds(100));
    Facts.LastExchange_ = Facts.LastStep_;
    Facts.StoreAway_ = true; // fleet of one process
    const FreshnessLimits Limits;
    CPPUNIT_ASSERT(mayDispatch(Facts, Limits, Facts.LastStep_ + seconds(1)));
    CPPUNIT_ASSERT(!mayDispatch(Facts, Limits, Facts.LastStep_ + seconds(2)));
  }

private:
  static void start(FakeFleet &Fleet) {
    for (unsigned I = 0; I < Fleet.Processes_.size(); ++I)
      Fleet.start(I);
    Fleet.write(model::PutPreset{samples::preset("ordinary")}, "ops");
    Fleet.run(seconds(20));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DispatchOfNewWork);

} // namespace
