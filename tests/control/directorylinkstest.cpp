#include "control/directoryfleet.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control::fakes;

namespace {

class DistributionOfTheServerList : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DistributionOfTheServerList);
  CPPUNIT_TEST(bringsALeavingMarkToEveryProcessAtOnce);
  CPPUNIT_TEST(leavesTheDirectoryToAFewReaders);
  CPPUNIT_TEST(goesOnWithinTheBoundWhenAllReadersDie);
  CPPUNIT_TEST(goesOnWithinTheBoundWhenReadersLoseTheDirectory);
  CPPUNIT_TEST(bringsAConfigurationToEveryProcessAtOnce);
  CPPUNIT_TEST(readsOnVmsWithFastLinks);
  CPPUNIT_TEST(asksSeldomWhileTheDirectoryIsAway);
  CPPUNIT_TEST(bringsBackWhatExpiredWhileAProcessStarted);
  CPPUNIT_TEST(startsWithFewCallsOfEachProcess);
  CPPUNIT_TEST(makesFewCallsWhileNothingChanges);
  CPPUNIT_TEST_SUITE_END();

public:
  void bringsALeavingMarkToEveryProcessAtOnce() {
    DirectoryFleet Fleet;
    Fleet.put(listed("a", true));
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
  }

  void leavesTheDirectoryToAFewReaders() {
    DirectoryFleet Fleet;
    Fleet.put(listed("c")); // ends the watches made at the start
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT(Fleet.watchers().size() <= 4);
    const unsigned Before = Fleet.calls();
    for (int I = 0; I < 20; ++I) {
      Fleet.put(listed("s" + std::to_string(I)));
      Fleet.wait(model::milliseconds(500)); // ten seconds in all
    }
    // Each reader calls once in 0.7 s at most.
    CPPUNIT_ASSERT(Fleet.calls() - Before <= 4 * 15);
  }

  void goesOnWithinTheBoundWhenAllReadersDie() {
    DirectoryFleet Fleet;
    Fleet.put(listed("c"));
    Fleet.wait(model::seconds(3));
    for (const unsigned Reader : Fleet.watchers())
      Fleet.kill(Reader);
    Fleet.put(listed("a", true));
    Fleet.wait(model::milliseconds(1900)); // the bound is 2 s
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("a"));
    Fleet.wait(model::seconds(8));
    Fleet.put(listed("b", true));
    Fleet.wait(model::milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("b"));
  }

  void goesOnWithinTheBoundWhenReadersLoseTheDirectory() {
    DirectoryFleet Fleet;
    Fleet.put(listed("c"));
    Fleet.wait(model::seconds(3));
    for (const unsigned Reader : Fleet.watchers())
      Fleet.cut(Reader);
    CPPUNIT_ASSERT(Fleet.reachableCount() > Fleet.size() / 2);
    Fleet.put(listed("a", true));
    Fleet.configure(2);
    Fleet.wait(model::milliseconds(1900)); // the bound is 2 s
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("a"));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countAtVersion(2));
  }

  void bringsAConfigurationToEveryProcessAtOnce() {
    DirectoryFleet Fleet;
    const unsigned Before = Fleet.calls();
    Fleet.configure(2);
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countAtVersion(2));
    Fleet.wait(model::seconds(3));
    Fleet.configure(3);
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countAtVersion(3));
    // Only readers watch; each starts its watch again after a change.
    CPPUNIT_ASSERT(Fleet.calls() - Before <= 2 * 4);
  }

  void readsOnVmsWithFastLinks() {
    DirectoryFleet Fleet;
    Fleet.put(listed("c"));
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT((std::set<unsigned>{3, 12}) == Fleet.watchers());
  }

  void asksSeldomWhileTheDirectoryIsAway() {
    DirectoryFleet Fleet;
    Fleet.setAway(true);
    Fleet.wait(model::seconds(10));
    const unsigned Before = Fleet.calls();
    const unsigned PingsBefore = Fleet.pings();
    Fleet.wait(model::seconds(10));
    // Nothing but pings: each second by the readers, every 2 s by the others.
    CPPUNIT_ASSERT_EQUAL(Before, Fleet.calls());
    CPPUNIT_ASSERT_LESSEQUAL(2u * 10 * 4 / 3 + 14 * 10 * 2 / 3,
                             Fleet.pings() - PingsBefore);
    Fleet.setAway(false);
    Fleet.put(listed("a", true));
    // Time after which all processes must have called the directory again.
    Fleet.wait(model::milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
  }

  /// A server entry expires and returns unchanged, so that nothing has changed
  /// for the readers. A process that could not reach them and read the list in
  /// between must get it all the same.
  void bringsBackWhatExpiredWhileAProcessStarted() {
    constexpr unsigned Late = 5;
    DirectoryFleet Fleet;
    Fleet.expire("a");
    Fleet.refuseLinks(true);
    Fleet.restart(Late);
    Fleet.wait(model::seconds(1));
    Fleet.refuseLinks(false);
    Fleet.wait(model::seconds(6));
    CPPUNIT_ASSERT(Fleet.isListed(Late, "b") && !Fleet.isListed(Late, "a"));
    Fleet.put(listed("d")); // the readers know a newer revision again
    Fleet.wait(model::seconds(3));
    Fleet.put(listed("a"));
    Fleet.wait(model::seconds(2));
    CPPUNIT_ASSERT(Fleet.isListed(Late, "a"));
  }

  void startsWithFewCallsOfEachProcess() {
    DirectoryFleet Fleet;
    // Calls per process: announcement, members, configuration and servers, and
    // two watches of a reader.
    CPPUNIT_ASSERT(Fleet.calls() <= 4 * Fleet.size() + 2 * 4);
  }

  void makesFewCallsWhileNothingChanges() {
    DirectoryFleet Fleet;
    const unsigned Before = Fleet.calls();
    const unsigned PingsBefore = Fleet.pings();
    const unsigned PollsBefore = Fleet.polls();
    Fleet.wait(model::seconds(20));
    CPPUNIT_ASSERT_EQUAL(Before, Fleet.calls());
    CPPUNIT_ASSERT_EQUAL(PingsBefore, Fleet.pings());
    // Each of the two readers polls the directory every 0.7 s.
    CPPUNIT_ASSERT(Fleet.polls() - PollsBefore <= 2 * 20 * 10 / 7 + 2);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DistributionOfTheServerList);

} // namespace
