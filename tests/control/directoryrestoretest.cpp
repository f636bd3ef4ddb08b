#include "control/directoryfleet.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

using namespace cumingauge;
using namespace cumingauge::control::fakes;

namespace {

constexpr DirectoryFleetSize ThreeZones{3, 16};
/// Time in which a change is in force everywhere: the leaving bound of 2 s less
/// two ticks.
constexpr model::milliseconds Bound{1900};
/// Time in which servers whose entries were lost register again.
constexpr model::milliseconds ReregistrationTime{2000};
/// Time after which every process has called the directory again.
constexpr model::milliseconds SettlingTime{5000};
constexpr model::milliseconds SampleStep{100};

/// Starts a fleet that knows some more servers.
void settle(DirectoryFleet &Fleet) {
  for (const char *Name : {"c", "d", "e", "f"})
    Fleet.put(listed(Name));
  Fleet.wait(model::seconds(5));
}

/// Makes the directory lose what \p Write writes: it is away for a moment and
/// comes back from a copy of the time before.
void lose(DirectoryFleet &Fleet, const std::function<void()> &Write,
          model::milliseconds Outage = model::seconds(2)) {
  Fleet.copyDirectory();
  Write();
  Fleet.wait(model::seconds(3));
  Fleet.setAway(true);
  Fleet.wait(Outage);
  Fleet.restoreFromCopy();
  Fleet.setAway(false);
}

/// Writes as many revisions as \p Count without any lasting change.
void writeMuch(DirectoryFleet &Fleet, unsigned Count) {
  for (unsigned I = 0; I < Count; ++I)
    Fleet.put(listed("f"));
}

/// Checks a condition at every step of a time.
void expectAlways(DirectoryFleet &Fleet, model::milliseconds Time,
                  const std::function<void()> &Check) {
  for (model::milliseconds Passed{0}; Passed < Time; Passed += SampleStep) {
    Check();
    Fleet.wait(SampleStep);
  }
  Check();
}

/// Fleets of small zones with the number of their links when nothing is wrong:
/// each process but two has links to these two, or the fleet is too small for
/// readers.
const std::pair<DirectoryFleetSize, std::size_t> SmallFleets[] = {
    {{/*Zones_=*/3, /*ZoneSize_=*/4}, 2 * 10},
    {{/*Zones_=*/3, /*ZoneSize_=*/2}, 0}};
/// Time after which links that no process wants are closed.
constexpr model::seconds LinkSettlingTime{45};

class RestoredDirectory : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredDirectory);
  CPPUNIT_TEST(aLeavingMarkWrittenAfterARestoreReachesAllProcesses);
  CPPUNIT_TEST(aServerThatRegistersAfterARestoreReachesAllProcesses);
  CPPUNIT_TEST(aChangeWrittenWhileTheStorePassesTheOldRevisionIsNotMissed);
  CPPUNIT_TEST(aRestoreDoesNotRaiseTheNumberOfCalls);
  CPPUNIT_TEST(aReaderRestartedAfterTheRestoreIsBelieved);
  CPPUNIT_TEST(aChangeBelowTheOldRevisionIsNotMissedAfterAShortOutage);
  CPPUNIT_TEST(aChangeIsNotMissedByAWatchThatOutlivedTheRestore);
  CPPUNIT_TEST(aServerKnownAsLeavingStaysLeavingWhenTheOldCopySaysReady);
  CPPUNIT_TEST(aServerKnownAsGoneIsNotUsedAgainWhenTheOldCopyListsIt);
  CPPUNIT_TEST(aServerThatRegistersAgainAfterItWasGoneIsUsedAgain);
  CPPUNIT_TEST(aNewStartOfALeavingServerIsUsedAfterTheRestore);
  CPPUNIT_TEST(aServerThatWasMissingForAMomentBeforeIsNotHeldBack);
  CPPUNIT_TEST(aServerRegisteredInTheLostSecondsKeepsItsPlace);
  CPPUNIT_TEST(aServerThatDoesNotRegisterAgainLosesItsPlace);
  CPPUNIT_TEST(aProcessAnnouncesItselfAgainWhenItsEntryIsLost);
  CPPUNIT_TEST(aVersionThatVanishedStaysInForce);
  CPPUNIT_TEST(aVersionWrittenAfterARestoreReachesAllProcesses);
  CPPUNIT_TEST(aProcessStartedAfterTheRestoreHasTheVersionOfItsPeers);
  CPPUNIT_TEST(aProcessAnnouncesItselfAgainWhenItsReadNoticesTheRestore);
  CPPUNIT_TEST(aProcessStartedAfterTheRestoreGivesNoWorkToLeavingServers);
  CPPUNIT_TEST(aReplacedStartOfAServerIsNotUsedAgain);
  CPPUNIT_TEST(aServerThatRegistersAgainIsUsedBeforeTheCopyExpires);
  CPPUNIT_TEST(aServerThatRegistersAgainAtOnceIsNotHeldBack);
  CPPUNIT_TEST(aLeavingServerStaysLeavingOverTwoRestores);
  CPPUNIT_TEST(aSecondRestoreIsFollowed);
  CPPUNIT_TEST(aProcessPausedOverTheRestoreKnowsTheLeavingServer);
  CPPUNIT_TEST(aProcessCutOffOverTheRestoreFollowsItsPeers);
  CPPUNIT_TEST(aRestartedFleetOfSmallZonesStartsInTime);
  CPPUNIT_TEST(noStartLinkRemainsInSmallZones);
  CPPUNIT_TEST_SUITE_END();

public:
  void aLeavingMarkWrittenAfterARestoreReachesAllProcesses() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { writeMuch(Fleet, 20); });
    Fleet.wait(SettlingTime);
    Fleet.put(listed("a", true));
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
  }

  void aServerThatRegistersAfterARestoreReachesAllProcesses() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.put(listed("g")); });
    Fleet.wait(SettlingTime);
    Fleet.put(listed("h"));
    Fleet.put(listed("g"));
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("g"));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("h"));
  }

  /// A reader pauses after the first change; the others are written meanwhile.
  void aChangeWrittenWhileTheStorePassesTheOldRevisionIsNotMissed() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { writeMuch(Fleet, 3); });
    Fleet.wait(SettlingTime);
    Fleet.put(listed("b"));
    Fleet.wait(SampleStep);
    Fleet.put(listed("a", true));
    writeMuch(Fleet, 3);
    Fleet.wait(Bound);
    for (const unsigned Reader : Fleet.watchers())
      CPPUNIT_ASSERT(Fleet.isLeaving(Reader, "a"));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
  }

  void aRestoreDoesNotRaiseTheNumberOfCalls() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { writeMuch(Fleet, 100); });
    Fleet.wait(SettlingTime);
    const unsigned Before = Fleet.calls();
    for (int I = 0; I < 20; ++I) {
      Fleet.put(listed("s" + std::to_string(I)));
      Fleet.wait(model::milliseconds(500)); // ten seconds in all
    }
    // Each of the two fleet readers calls once in 0.7 s at most.
    CPPUNIT_ASSERT_LESSEQUAL(2u * 15, Fleet.calls() - Before);
  }

  void aReaderRestartedAfterTheRestoreIsBelieved() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { writeMuch(Fleet, 100); });
    Fleet.wait(SettlingTime);
    for (const unsigned Reader : Fleet.watchers())
      Fleet.restart(Reader);
    Fleet.wait(model::seconds(15));
    Fleet.put(listed("a", true));
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Fleet.watchers().size());
  }

  /// The outage falls into the readers' pause after a change, so no call about
  /// the servers fails.
  void aChangeBelowTheOldRevisionIsNotMissedAfterAShortOutage() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.copyDirectory();
    writeMuch(Fleet, 3);
    Fleet.wait(model::milliseconds(100));
    Fleet.setAway(true);
    Fleet.wait(model::milliseconds(200));
    Fleet.restoreFromCopy();
    Fleet.setAway(false);
    Fleet.put(listed("a", true));
    writeMuch(Fleet, 3);
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
  }

  void aChangeIsNotMissedByAWatchThatOutlivedTheRestore() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.copyDirectory();
    writeMuch(Fleet, 3);
    Fleet.wait(model::seconds(3));
    Fleet.setAway(true, DirectoryFleet::WaitingWatches::Keep);
    Fleet.wait(model::milliseconds(200));
    Fleet.restoreFromCopy();
    Fleet.setAway(false);
    Fleet.put(listed("a", true));
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
  }

  void aServerKnownAsLeavingStaysLeavingWhenTheOldCopySaysReady() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.put(listed("a", true)); });
    expectAlways(Fleet, SettlingTime, [&] {
      CPPUNIT_ASSERT_EQUAL(Fleet.countListing("a"),
                           Fleet.countSeeingLeaving("a"));
    });
  }

  void aServerKnownAsGoneIsNotUsedAgainWhenTheOldCopyListsIt() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] {
      Fleet.put(listed("a", true));
      Fleet.wait(Bound);
      Fleet.remove("a");
    });
    expectAlways(Fleet, SettlingTime, [&] {
      CPPUNIT_ASSERT_EQUAL(Fleet.countListing("a"),
                           Fleet.countSeeingLeaving("a"));
    });
  }

  void aServerThatRegistersAgainAfterItWasGoneIsUsedAgain() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.remove("a"); });
    Fleet.wait(SettlingTime);
    Fleet.put(listed("a"));
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("a"));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.countSeeingLeaving("a"));
  }

  void aNewStartOfALeavingServerIsUsedAfterTheRestore() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.put(listed("a", true)); });
    Fleet.wait(SettlingTime);
    ports::ServerEntry Started = listed("a");
    Started.Listed_->Server_.Vm_ = "another start";
    Fleet.put(Started);
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("a"));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.countSeeingLeaving("a"));
  }

  /// It was removed and registered again before the copy was taken.
  void aServerThatWasMissingForAMomentBeforeIsNotHeldBack() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.remove("a");
    Fleet.wait(Bound);
    Fleet.put(listed("a"));
    Fleet.wait(Bound);
    lose(Fleet, [&] { writeMuch(Fleet, 3); });
    expectAlways(Fleet, SettlingTime, [&] {
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("a"));
      CPPUNIT_ASSERT_EQUAL(0U, Fleet.countSeeingLeaving("a"));
    });
  }

  void aServerRegisteredInTheLostSecondsKeepsItsPlace() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.put(listed("g")); });
    const auto IsListedEverywhere = [&] {
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("g"));
    };
    expectAlways(Fleet, ReregistrationTime, IsListedEverywhere);
    Fleet.put(listed("g"));
    expectAlways(Fleet, SettlingTime, IsListedEverywhere);
  }

  void aServerThatDoesNotRegisterAgainLosesItsPlace() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.put(listed("g")); });
    Fleet.wait(model::seconds(10));
    CPPUNIT_ASSERT_EQUAL(0u, Fleet.countListing("g"));
  }

  void aProcessAnnouncesItselfAgainWhenItsEntryIsLost() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.withdraw(5);
    lose(Fleet, [&] { writeMuch(Fleet, 3); });
    // The longest time between two reads of the member list, and a call.
    Fleet.wait(model::seconds(150) + model::seconds(5));
    CPPUNIT_ASSERT(Fleet.isAnnounced(5));
  }

  void aVersionThatVanishedStaysInForce() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.configure(2); });
    expectAlways(Fleet, SettlingTime, [&] {
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countAtVersion(2));
    });
  }

  void aVersionWrittenAfterARestoreReachesAllProcesses() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] {
      Fleet.configure(2);
      writeMuch(Fleet, 20);
    });
    Fleet.wait(SettlingTime);
    Fleet.configure(3);
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countAtVersion(3));
  }

  void aProcessStartedAfterTheRestoreHasTheVersionOfItsPeers() {
    for (const unsigned Number : {3U, 5U}) { // a reader and another process
      DirectoryFleet Fleet(ThreeZones);
      settle(Fleet);
      lose(Fleet, [&] { Fleet.configure(2); });
      Fleet.wait(SettlingTime);
      Fleet.restart(Number);
      expectAlways(Fleet, SettlingTime, [&] {
        CPPUNIT_ASSERT(!Fleet.hasView(Number) || Fleet.versionAt(Number) == 2);
      });
      CPPUNIT_ASSERT(Fleet.hasView(Number));
    }
  }

  /// The response that announces the new era belongs to a read of the members.
  void aProcessAnnouncesItselfAgainWhenItsReadNoticesTheRestore() {
    DirectoryFleet Fleet({1, 1});
    settle(Fleet);
    Fleet.withdraw(0);
    Fleet.copyDirectory();
    Fleet.restoreDuringNextMembersRead();
    // The longest time between two reads of the member list, and a call.
    Fleet.wait(model::seconds(150) + model::seconds(5));
    CPPUNIT_ASSERT(Fleet.isAnnounced(0));
  }

  void aProcessStartedAfterTheRestoreGivesNoWorkToLeavingServers() {
    for (const unsigned Number : {3U, 5U}) {
      DirectoryFleet Fleet(ThreeZones);
      settle(Fleet);
      lose(Fleet, [&] { Fleet.put(listed("a", true)); });
      Fleet.wait(model::seconds(1));
      Fleet.restart(Number);
      expectAlways(Fleet, SettlingTime, [&] {
        CPPUNIT_ASSERT(!Fleet.isListed(Number, "a") ||
                       Fleet.isLeaving(Number, "a"));
      });
    }
  }

  void aReplacedStartOfAServerIsNotUsedAgain() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] {
      ports::ServerEntry Started = listed("a");
      Started.Listed_->Server_.Vm_ = "another start";
      Fleet.put(Started);
    });
    expectAlways(Fleet, ReregistrationTime, [&] {
      for (unsigned I = 0; I < Fleet.size(); ++I)
        CPPUNIT_ASSERT_EQUAL(std::string("another start"), Fleet.vmAt(I, "a"));
      CPPUNIT_ASSERT_EQUAL(0U, Fleet.countSeeingLeaving("a"));
    });
    expectAlways(Fleet, model::seconds(3), [&] {
      for (unsigned I = 0; I < Fleet.size(); ++I)
        CPPUNIT_ASSERT(Fleet.vmAt(I, "a") != "vm-a" || Fleet.isLeaving(I, "a"));
    });
  }

  void aServerThatRegistersAgainIsUsedBeforeTheCopyExpires() {
    loseRemovalUntilRenewal(model::milliseconds(3900));
  }

  /// The readers read the whole list for a while after a restore, so the
  /// registration is no event.
  void aServerThatRegistersAgainAtOnceIsNotHeldBack() {
    loseRemovalUntilRenewal(model::seconds(1));
  }

  void aLeavingServerStaysLeavingOverTwoRestores() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.put(listed("a", true)); });
    Fleet.wait(model::seconds(1));
    lose(Fleet, [&] { writeMuch(Fleet, 3); });
    expectAlways(Fleet, SettlingTime, [&] {
      CPPUNIT_ASSERT_EQUAL(Fleet.countListing("a"),
                           Fleet.countSeeingLeaving("a"));
    });
  }

  void aSecondRestoreIsFollowed() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { writeMuch(Fleet, 20); });
    Fleet.wait(SampleStep);
    Fleet.restoreFromCopy();
    Fleet.put(listed("a", true));
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
  }

  void aProcessPausedOverTheRestoreKnowsTheLeavingServer() {
    for (const unsigned Number : {3U, 5U}) {
      DirectoryFleet Fleet(ThreeZones);
      settle(Fleet);
      Fleet.copyDirectory();
      writeMuch(Fleet, 20);
      Fleet.wait(model::seconds(3));
      Fleet.pause(Number, true);
      Fleet.restoreFromCopy();
      Fleet.wait(model::seconds(4));
      Fleet.put(listed("a", true));
      Fleet.wait(Bound);
      Fleet.pause(Number, false);
      Fleet.wait(Bound);
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
    }
  }

  void aProcessCutOffOverTheRestoreFollowsItsPeers() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.cut(5);
    lose(Fleet, [&] { writeMuch(Fleet, 20); });
    Fleet.wait(SettlingTime);
    Fleet.put(listed("a", true));
    Fleet.wait(Bound);
    CPPUNIT_ASSERT(Fleet.isLeaving(5, "a"));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("a"));
  }

  void aRestartedFleetOfSmallZonesStartsInTime() {
    for (const auto &[Size, Links] : SmallFleets) {
      DirectoryFleet Fleet(Size);
      settle(Fleet);
      Fleet.resetLinks();
      for (unsigned I = 0; I < Fleet.size(); ++I)
        Fleet.kill(I);
      for (unsigned I = 0; I < Fleet.size(); ++I)
        Fleet.restart(I);
      Fleet.wait(model::milliseconds(600));
      for (unsigned I = 0; I < Fleet.size(); ++I)
        CPPUNIT_ASSERT(Fleet.hasView(I));
      Fleet.wait(model::seconds(1));
      CPPUNIT_ASSERT_EQUAL(Links, Fleet.linkCount());
    }
  }

  void noStartLinkRemainsInSmallZones() {
    for (const auto &[Size, Links] : SmallFleets)
      for (const bool Resets : {true, false}) {
        DirectoryFleet Fleet(Size);
        settle(Fleet);
        if (Resets)
          Fleet.resetLinks();
        for (unsigned I = 0; I < Fleet.size(); ++I) {
          Fleet.restart(I);
          Fleet.wait(model::milliseconds(300));
          CPPUNIT_ASSERT(Fleet.hasView(I));
        }
        Fleet.wait(LinkSettlingTime);
        CPPUNIT_ASSERT_EQUAL(Links, Fleet.linkCount());
      }
  }

private:
  /// The directory loses the removal of a server, which registers again some
  /// time after the restore.
  static void loseRemovalUntilRenewal(model::milliseconds Time) {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    lose(Fleet, [&] { Fleet.remove("a"); });
    Fleet.wait(Time);
    Fleet.put(listed("a"));
    Fleet.wait(Bound);
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("a"));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.countSeeingLeaving("a"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RestoredDirectory);

} // namespace
