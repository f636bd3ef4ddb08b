#include "control/directoryfleet.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;

namespace {

constexpr DirectoryFleetSize ThreeZones{3, 16};
/// Readers of the second zone.
constexpr unsigned Readers[] = {16 + 3, 16 + 12};
constexpr unsigned Some = 21; ///< a process that no other one reads from

/// Guards against a process that takes an old configuration for the newest one
/// because an update of a peer has waited on its way.
class AgesThatPeersTell : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgesThatPeersTell);
  CPPUNIT_TEST(areTrueOverASlowLink);
  CPPUNIT_TEST(areTrueAfterAPause);
  CPPUNIT_TEST_SUITE_END();

public:
  void areTrueOverASlowLink() {
    DirectoryFleet Fleet(ThreeZones);
    Fleet.wait(model::seconds(3));
    for (const unsigned Reader : Readers)
      Fleet.setUplink(Reader, 20'000);
    for (std::uint64_t Version = 2; Version < 26; ++Version) {
      Fleet.configure(Version);
      Fleet.wait(model::milliseconds(200));
    }
    Fleet.wait(model::seconds(5));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countAtVersion(25));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.falseClaims());
  }

  void areTrueAfterAPause() {
    DirectoryFleet Fleet(ThreeZones);
    Fleet.wait(model::seconds(3));
    for (std::uint64_t Version = 2; Version < 10; ++Version) {
      Fleet.pause(Some, true);
      Fleet.wait(model::milliseconds(600));
      Fleet.configure(Version);
      Fleet.wait(model::milliseconds(300));
      Fleet.pause(Some, false);
      Fleet.wait(model::milliseconds(500));
    }
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countAtVersion(9));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.falseClaims());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AgesThatPeersTell);

} // namespace
