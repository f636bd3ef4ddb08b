#include "control/storekeys.h"
#include "fakefleet.h"
#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::fakes;
using model::seconds;

namespace {

constexpr unsigned FleetSize = 14;

void startAll(FakeFleet &Fleet) {
  for (unsigned I = 0; I < Fleet.Processes_.size(); ++I)
    Fleet.start(I);
  Fleet.run(seconds(25));
}

void prepare(FakeFleet &Fleet) {
  startAll(Fleet);
  Fleet.write(model::PutPreset{samples::preset("ordinary")}, "ops");
  Fleet.run(seconds(1));
  Fleet.write(model::ChoosePreset{"ordinary"}, "ops");
  Fleet.run(seconds(1));
}

bool haveAll(const FakeFleet &Fleet, std::uint64_t Version) {
  for (unsigned I = 0; I < Fleet.Processes_.size(); ++I)
    if (Fleet.version(I) != Version)
      return false;
  return true;
}

unsigned alarms(const FakeFleet &Fleet, model::ResultCode Reason) {
  unsigned Out = 0;
  for (const FakeProcess &Process : Fleet.Processes_)
    for (const auto &Event : Process.Events_)
      Out += Event.Kind_ == model::EventKind::Alarm && Event.Reason_ == Reason;
  return Out;
}

class AcceptedChanges : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AcceptedChanges);
  CPPUNIT_TEST(reachEveryProcessWithoutWaitingForAHeartbeat);
  CPPUNIT_TEST(outliveAStoreOutageOnceHandedOver);
  CPPUNIT_TEST(reachAProcessThatStartsWhileTheStoreIsAway);
  CPPUNIT_TEST(costFewStoreCallsInALargerFleet);
  CPPUNIT_TEST_SUITE_END();

public:
  void reachEveryProcessWithoutWaitingForAHeartbeat() {
    FakeFleet Fleet(FleetSize, 1);
    prepare(Fleet);
    Fleet.write(model::PutPreset{samples::preset("peak")}, "ops");
    Fleet.run(model::milliseconds(100));
    CPPUNIT_ASSERT(haveAll(Fleet, 3));
    for (const FakeProcess &Process : Fleet.Processes_)
      CPPUNIT_ASSERT_EQUAL(FleetSize, Process.View_->FleetSize_);
    CPPUNIT_ASSERT(Fleet.Violations_.empty());
  }

  void outliveAStoreOutageOnceHandedOver() {
    FakeFleet Fleet(FleetSize, 2);
    prepare(Fleet);
    for (FakeProcess &Process : Fleet.Processes_)
      Process.HasStore_ = false; // only the operator still reaches the store
    Fleet.write(model::PutPreset{samples::preset("peak")}, "ops", true);
    Fleet.run(seconds(1));
    CPPUNIT_ASSERT(haveAll(Fleet, 3));
    Fleet.run(seconds(60));
    for (unsigned I = 0; I < FleetSize; ++I)
      CPPUNIT_ASSERT(Fleet.mayDispatch(I));
  }

  void reachAProcessThatStartsWhileTheStoreIsAway() {
    FakeFleet Fleet(FleetSize, 3);
    prepare(Fleet);
    Fleet.IsStoreUp_ = false;
    Fleet.kill(5);
    Fleet.run(seconds(10));
    Fleet.start(5);
    Fleet.run(seconds(5));
    CPPUNIT_ASSERT(haveAll(Fleet, 2));
    CPPUNIT_ASSERT(!Fleet.Processes_[5].View_->Confirmed_);
    Fleet.IsStoreUp_ = true;
    Fleet.run(seconds(10));
    CPPUNIT_ASSERT(Fleet.Processes_[5].View_->Confirmed_);
  }

  void costFewStoreCallsInALargerFleet() {
    const auto CallsPerMinute = [](unsigned Size) {
      FakeFleet Fleet(Size, 4);
      prepare(Fleet);
      Fleet.StoreCalls_ = 0;
      Fleet.run(seconds(60));
      return Fleet.StoreCalls_;
    };
    CPPUNIT_ASSERT(CallsPerMinute(84) < 2 * CallsPerMinute(14));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AcceptedChanges);

class AFaultyPeerOrStore : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AFaultyPeerOrStore);
  CPPUNIT_TEST(reportsAClaimWithoutEntriesOnce);
  CPPUNIT_TEST(reportsAStoreBehindTheFleetAndKeepsItsState);
  CPPUNIT_TEST(letsTheStoreDecideOnContents);
  CPPUNIT_TEST(takesAChangeAcceptedAfterTheStoreWasRestored);
  CPPUNIT_TEST(takesAChangeAcceptedAfterTheStoreLostTwo);
  CPPUNIT_TEST_SUITE_END();

public:
  void reportsAClaimWithoutEntriesOnce() {
    FakeFleet Fleet(3, 5);
    prepare(Fleet);
    const control::LinkId FaultyPeer = 999999;
    model::Member Peer = Fleet.Processes_[1].Settings_.Self_;
    Peer.Process_ = "liar";
    Peer.Port_ = 7002;
    Fleet.feed(0, control::LinkOpened{FaultyPeer, Peer, false, false});
    for (std::uint64_t I = 1; I <= 60; ++I) {
      control::Heartbeat Claim;
      Claim.Sequence_ = I;
      Claim.Version_ = 1000;
      Fleet.feed(0, control::PeerMessageReceived{FaultyPeer, Claim});
      Fleet.run(model::milliseconds(500));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Fleet.version(0));
    CPPUNIT_ASSERT(Fleet.mayDispatch(0));
    CPPUNIT_ASSERT_EQUAL(1U,
                         alarms(Fleet, model::ResultCode::PeerVersionClaim));
  }

  void reportsAStoreBehindTheFleetAndKeepsItsState() {
    FakeFleet Fleet(3, 6);
    prepare(Fleet);
    ports::StoreRequest Loss;
    Loss.Operation_ = ports::StoreOperation::Delete;
    Loss.Key_ = control::entryKey(2);
    Fleet.Store_.execute(Loss);
    Fleet.run(seconds(90));
    CPPUNIT_ASSERT(haveAll(Fleet, 2));
    CPPUNIT_ASSERT(alarms(Fleet, model::ResultCode::StoreBehindFleet) >= 3);
    CPPUNIT_ASSERT(alarms(Fleet, model::ResultCode::StoreBehindFleet) <= 6);
  }

  void letsTheStoreDecideOnContents() {
    FakeFleet Fleet(3, 7);
    prepare(Fleet);
    // A process receives an entry that is not the store's.
    model::Change Wrong{"wrong",
                        "nobody",
                        3,
                        0,
                        model::PutPreset{samples::preset("wrong")},
                        Fleet.Processes_[0].View_->Config_->LogDigest_};
    Fleet.feed(0, control::LinkOpened{999, {}, true, false});
    Fleet.feed(
        0, control::PeerMessageReceived{999, control::Entries{{Wrong}, {}}});
    Fleet.write(model::PutPreset{samples::preset("right")}, "ops");
    Fleet.run(seconds(60));
    for (const FakeProcess &Process : Fleet.Processes_) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           Process.View_->Config_->Presets_.count("right"));
      CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                           Process.View_->Config_->Presets_.count("wrong"));
    }
    CPPUNIT_ASSERT(alarms(Fleet, model::ResultCode::StoreAnswerInvalid) > 0);
  }

  void takesAChangeAcceptedAfterTheStoreWasRestored() { loseChanges(1); }

  void takesAChangeAcceptedAfterTheStoreLostTwo() { loseChanges(2); }

private:
  /// The store comes back from a copy that lacks the latest changes.
  static void loseChanges(unsigned Count) {
    FakeFleet Fleet(3, 8);
    prepare(Fleet);
    const FakeStore Copy = Fleet.Store_;
    for (unsigned I = 0; I < Count; ++I) {
      Fleet.write(model::PutPreset{samples::preset("lost")}, "ops");
      Fleet.run(seconds(3));
    }
    Fleet.Store_ = Copy;
    Fleet.run(seconds(3));
    Fleet.write(model::PutPreset{samples::preset("peak")}, "ops");
    Fleet.run(seconds(90));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Fleet.Store_.lastVersion());
    for (const FakeProcess &Process : Fleet.Processes_)
      CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                           Process.View_->Config_->Presets_.count("peak"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AFaultyPeerOrStore);

} // namespace
