#include "control/directoryfleet.h"
#include "control/directoryprocess.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;

namespace {

constexpr DirectoryFleetSize ThreeZones{3, 16};
constexpr unsigned Some = 21; ///< a process that no other one reads from

void settle(DirectoryFleet &Fleet) {
  Fleet.put(listed("c"));
  Fleet.wait(model::seconds(3));
}

/// Guards against a process that takes an old configuration for the newest one
/// and tells callers that their requests are wrong.
class NewestConfiguration : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NewestConfiguration);
  CPPUNIT_TEST(isKnownAllTheTimeInASettledFleet);
  CPPUNIT_TEST(isKnownAgainSoonAfterAChange);
  CPPUNIT_TEST(isUnknownWhileTheDirectoryIsAway);
  CPPUNIT_TEST(isNotKnownFromAPeerThatIsBehind);
  CPPUNIT_TEST(isUnknownAfterAPauseUntilItIsConfirmed);
  CPPUNIT_TEST(isToldWithItsSource);
  CPPUNIT_TEST_SUITE_END();

public:
  void isKnownAllTheTimeInASettledFleet() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    for (int I = 0; I < 1200; ++I) {
      Fleet.wait(model::milliseconds(50)); // a minute in all
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countKnowingNewest());
    }
  }

  void isKnownAgainSoonAfterAChange() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    for (std::uint64_t Version = 2; Version < 20; ++Version) {
      Fleet.configure(Version);
      Fleet.wait(model::milliseconds(700));
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countAtVersion(Version));
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countKnowingNewest());
    }
  }

  void isUnknownWhileTheDirectoryIsAway() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.setAway(true);
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.countKnowingNewest());
    Fleet.wait(model::seconds(60));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.countKnowingNewest());
    Fleet.setAway(false);
    Fleet.wait(model::seconds(5));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countKnowingNewest());
  }

  void isNotKnownFromAPeerThatIsBehind() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    for (unsigned I = 0; I < Fleet.size(); ++I)
      if (I != Some)
        Fleet.cut(I);
    Fleet.wait(model::seconds(5));
    Fleet.configure(2);
    Fleet.setDelay(Some, model::milliseconds(300));
    Fleet.restart(Some);
    bool WasBehind = false;
    for (int I = 0; I < 100; ++I) {
      Fleet.wait(model::milliseconds(50));
      WasBehind = WasBehind || Fleet.versionAt(Some) == 1;
      CPPUNIT_ASSERT(Fleet.versionAt(Some) == 2 || !Fleet.knowsNewest(Some));
    }
    CPPUNIT_ASSERT(WasBehind);
    CPPUNIT_ASSERT(Fleet.knowsNewest(Some));
  }

  void isUnknownAfterAPauseUntilItIsConfirmed() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.pause(Some, true);
    Fleet.wait(model::seconds(4));
    Fleet.configure(2);
    Fleet.wait(model::seconds(1));
    Fleet.pause(Some, false);
    CPPUNIT_ASSERT(!Fleet.knowsNewest(Some));
    Fleet.wait(model::seconds(2));
    CPPUNIT_ASSERT(Fleet.knowsNewest(Some));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Fleet.versionAt(Some));
  }

  /// Guards against a log that shows an age without whose word it is.
  void isToldWithItsSource() {
    DirectoryProcess Alone = makeSettledProcess();
    CPPUNIT_ASSERT_EQUAL(std::string("directory"), Alone.source());
    const auto Applied = Alone.events(model::EventKind::ChangeApplied);
    CPPUNIT_ASSERT_EQUAL(std::string("from directory"), Applied.at(0).Detail_);
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    // The readers of its zone have the numbers 3 and 12 there.
    const std::string Source = Fleet.sourceAt(Some);
    CPPUNIT_ASSERT(Source == "front-1-3" || Source == "front-1-12");
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NewestConfiguration);

} // namespace
