#include "control/directoryfleet.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control::fakes;

namespace {

constexpr DirectoryFleetSize ThreeZones{3, 16};

/// Starts a fleet and lets it settle after the watches of the start.
void settle(DirectoryFleet &Fleet) {
  Fleet.put(listed("c"));
  Fleet.wait(model::seconds(3));
}

class StartFromAReader : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartFromAReader);
  CPPUNIT_TEST(takesOneCallAfterARestart);
  CPPUNIT_TEST(takesTwoCallsWhenTheFleetStarts);
  CPPUNIT_TEST(goesOnAloneWhenNoReaderAnswers);
  CPPUNIT_TEST(pingsWhileTheDirectoryIsAway);
  CPPUNIT_TEST(forgetsAServerThatLeftBeforeTheReaderStarted);
  CPPUNIT_TEST_SUITE_END();

public:
  void takesOneCallAfterARestart() {
    DirectoryFleet Fleet;
    settle(Fleet);
    const unsigned Before = Fleet.callsOf(5);
    Fleet.restart(5);
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT(Fleet.isListed(5, "c"));
    Fleet.wait(model::seconds(10));
    CPPUNIT_ASSERT_EQUAL(1u, Fleet.callsOf(5) - Before);
  }

  void takesTwoCallsWhenTheFleetStarts() {
    DirectoryFleet Fleet(ThreeZones);
    for (unsigned I = 0; I < Fleet.size(); ++I) {
      const bool IsReader = I % 16 == 3 || I % 16 == 12;
      CPPUNIT_ASSERT(Fleet.hasView(I));
      CPPUNIT_ASSERT(IsReader || Fleet.callsOf(I) == 2);
    }
  }

  void goesOnAloneWhenNoReaderAnswers() {
    DirectoryFleet Fleet;
    settle(Fleet);
    for (unsigned I = 0; I < Fleet.size(); ++I)
      if (I != 5)
        Fleet.kill(I);
    Fleet.restart(5);
    Fleet.wait(model::milliseconds(500));
    CPPUNIT_ASSERT(Fleet.isListed(5, "c"));
  }

  void pingsWhileTheDirectoryIsAway() {
    DirectoryFleet Fleet;
    settle(Fleet);
    Fleet.setAway(true);
    Fleet.wait(model::seconds(3));
    const unsigned Before = Fleet.callsOf(5);
    Fleet.restart(5);
    Fleet.wait(model::seconds(10));
    // Two calls about each topic show that the directory is away.
    CPPUNIT_ASSERT_LESSEQUAL(3u * 2, Fleet.callsOf(5) - Before);
    Fleet.setAway(false);
    Fleet.wait(model::milliseconds(1500)); // a second between two pings
    CPPUNIT_ASSERT(Fleet.isListed(5, "c"));
  }

  /// All readers restart after a server has left, so they never knew it, while
  /// the other processes still list it.
  void forgetsAServerThatLeftBeforeTheReaderStarted() {
    DirectoryFleet Fleet;
    settle(Fleet);
    Fleet.resetLinks();
    const std::set<unsigned> Readers = Fleet.watchers();
    for (const unsigned Reader : Readers)
      Fleet.kill(Reader);
    Fleet.remove("a");
    for (const unsigned Reader : Readers)
      Fleet.restart(Reader);
    Fleet.wait(model::milliseconds(1900)); // the bound is 2 s
    for (unsigned I = 0; I < Fleet.size(); ++I)
      CPPUNIT_ASSERT(!Fleet.isListed(I, "a"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StartFromAReader);

} // namespace
