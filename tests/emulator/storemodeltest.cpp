#include "emulator/storemodel.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::emulator;
using model::milliseconds;
using model::TimePoint;

namespace {

WriteRequest createIfAbsent(const std::string &Key, const std::string &Value) {
  return {Key, Value, 0, "", ""};
}

class AStoreForWriters : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AStoreForWriters);
  CPPUNIT_TEST(letsOnlyTheFirstWriterCreateAKey);
  CPPUNIT_TEST(writesOnlyAtTheExpectedModifyIndex);
  CPPUNIT_TEST(increasesTheIndexWithEachSuccessfulWrite);
  CPPUNIT_TEST(createsAgainAfterARemoval);
  CPPUNIT_TEST_SUITE_END();

public:
  void letsOnlyTheFirstWriterCreateAKey() {
    StoreModel Store;
    CPPUNIT_ASSERT(writeKey(Store, createIfAbsent("changes/1", "mine")));
    CPPUNIT_ASSERT(!writeKey(Store, createIfAbsent("changes/1", "theirs")));
    CPPUNIT_ASSERT_EQUAL(std::string("mine"),
                         findKey(Store, "changes/1")->Value_);
  }

  void writesOnlyAtTheExpectedModifyIndex() {
    StoreModel Store;
    writeKey(Store, createIfAbsent("head", "1"));
    const std::uint64_t Seen = findKey(Store, "head")->ModifyIndex_;
    CPPUNIT_ASSERT(writeKey(Store, {"head", "2", Seen, "", ""}));
    CPPUNIT_ASSERT(!writeKey(Store, {"head", "3", Seen, "", ""}));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), findKey(Store, "head")->Value_);
  }

  void increasesTheIndexWithEachSuccessfulWrite() {
    rc::check([] {
      StoreModel Store;
      const auto Steps =
          *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
      for (const int Step : Steps) {
        const std::string Key = "k" + std::to_string(Step % 4);
        const StoredValue *Present = findKey(Store, Key);
        const bool Expected = Step >= 20 || !Present;
        const std::uint64_t Before = Store.Index_;
        const bool Written = Step >= 20
                                 ? writeKey(Store, {Key, "v", {}, "", ""})
                                 : writeKey(Store, createIfAbsent(Key, "v"));
        RC_ASSERT(Written == Expected);
        RC_ASSERT(Store.Index_ == Before + (Written ? 1 : 0));
        if (Written)
          RC_ASSERT(findKey(Store, Key)->ModifyIndex_ == Store.Index_);
      }
    });
  }

  void createsAgainAfterARemoval() {
    StoreModel Store;
    writeKey(Store, createIfAbsent("k", "old"));
    CPPUNIT_ASSERT(!removeKey(Store, "k", Store.Index_ + 7));
    CPPUNIT_ASSERT(removeKey(Store, "k", std::nullopt));
    CPPUNIT_ASSERT(findKey(Store, "k") == nullptr);
    CPPUNIT_ASSERT(writeKey(Store, createIfAbsent("k", "new")));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AStoreForWriters);

class AStoreForWatchers : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AStoreForWatchers);
  CPPUNIT_TEST(keepsAWatchOnAnAbsentKeyWaitingUntilItIsCreated);
  CPPUNIT_TEST(wakesAWatchOnAKeyForItsNextWriteOnly);
  CPPUNIT_TEST(wakesAWatchOnAPrefixForAnyKeyBelowIt);
  CPPUNIT_TEST(wakesAWatchOnARemovedKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void keepsAWatchOnAnAbsentKeyWaitingUntilItIsCreated() {
    StoreModel Store;
    writeKey(Store, createIfAbsent("changes/1", ""));
    CPPUNIT_ASSERT(!isWatchDue(Store, "changes/2", false, 1));
    writeKey(Store, createIfAbsent("changes/2", ""));
    CPPUNIT_ASSERT(isWatchDue(Store, "changes/2", false, 1));
  }

  void wakesAWatchOnAKeyForItsNextWriteOnly() {
    StoreModel Store;
    writeKey(Store, createIfAbsent("head", "1"));
    const std::uint64_t Seen = watchIndex(Store, "head", false);
    writeKey(Store, createIfAbsent("header", "other key"));
    CPPUNIT_ASSERT(!isWatchDue(Store, "head", false, Seen));
    writeKey(Store, {"head", "2", {}, "", ""});
    CPPUNIT_ASSERT(isWatchDue(Store, "head", false, Seen));
  }

  void wakesAWatchOnAPrefixForAnyKeyBelowIt() {
    StoreModel Store;
    writeKey(Store, createIfAbsent("changes/1", ""));
    const std::uint64_t Seen = watchIndex(Store, "changes/", true);
    writeKey(Store, createIfAbsent("snapshots/1", ""));
    CPPUNIT_ASSERT(!isWatchDue(Store, "changes/", true, Seen));
    writeKey(Store, createIfAbsent("changes/2", ""));
    CPPUNIT_ASSERT(isWatchDue(Store, "changes/", true, Seen));
  }

  void wakesAWatchOnARemovedKey() {
    StoreModel Store;
    writeKey(Store, createIfAbsent("head", "1"));
    const std::uint64_t Seen = watchIndex(Store, "head", false);
    removeKey(Store, "head", std::nullopt);
    CPPUNIT_ASSERT(isWatchDue(Store, "head", false, Seen));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AStoreForWatchers);

class AStoreForLeaseHolders : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AStoreForLeaseHolders);
  CPPUNIT_TEST(givesALockToOneLeaseAtATime);
  CPPUNIT_TEST(expiresALeaseThatIsNotRenewed);
  CPPUNIT_TEST(refusesToRenewAnExpiredLease);
  CPPUNIT_TEST_SUITE_END();

public:
  void givesALockToOneLeaseAtATime() {
    StoreModel Store;
    const std::string A = createLease(Store, milliseconds(100), Start_);
    const std::string B = createLease(Store, milliseconds(100), Start_);
    CPPUNIT_ASSERT(writeKey(Store, {"lock", "a", {}, A, ""}));
    CPPUNIT_ASSERT(!writeKey(Store, {"lock", "b", {}, B, ""}));
    CPPUNIT_ASSERT(!writeKey(Store, {"lock", "b", {}, "", B}));
    CPPUNIT_ASSERT(writeKey(Store, {"lock", "a", {}, "", A}));
    CPPUNIT_ASSERT(writeKey(Store, {"lock", "b", {}, B, ""}));
  }

  void expiresALeaseThatIsNotRenewed() {
    StoreModel Store;
    const std::string A = createLease(Store, milliseconds(100), Start_);
    writeKey(Store, {"lock", "a", {}, A, ""});
    CPPUNIT_ASSERT(renewLease(Store, A, Start_ + milliseconds(90)));
    expireLeases(Store, Start_ + milliseconds(189));
    CPPUNIT_ASSERT_EQUAL(A, findKey(Store, "lock")->Session_);
    expireLeases(Store, Start_ + milliseconds(190));
    CPPUNIT_ASSERT_EQUAL(std::string(), findKey(Store, "lock")->Session_);
  }

  void refusesToRenewAnExpiredLease() {
    StoreModel Store;
    const std::string A = createLease(Store, milliseconds(100), Start_);
    CPPUNIT_ASSERT(!renewLease(Store, A, Start_ + milliseconds(100)));
    CPPUNIT_ASSERT(!writeKey(Store, {"lock", "a", {}, A, ""}));
  }

private:
  const TimePoint Start_{std::chrono::seconds(1000)};
};
CPPUNIT_TEST_SUITE_REGISTRATION(AStoreForLeaseHolders);

class AStoreThatComesBackFromACopy : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AStoreThatComesBackFromACopy);
  CPPUNIT_TEST(hasLostWhatWasWrittenSince);
  CPPUNIT_TEST(hasTheKeysThatWereRemovedSince);
  CPPUNIT_TEST(givesOutTheSameIndexesAgain);
  CPPUNIT_TEST(keepsAWatchWaitingThatHasSeenALostIndex);
  CPPUNIT_TEST(hasEndedTheLeasesThatWereCreatedSince);
  CPPUNIT_TEST(startsTheTimeOfItsLeasesAnew);
  CPPUNIT_TEST(givesNoLeaseIdTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Store_ = StoreModel();
    writeKey(Store_, createIfAbsent("head", "old"));
    writeKey(Store_, createIfAbsent("removed", "old"));
  }

  void hasLostWhatWasWrittenSince() {
    const StoreModel Copy = Store_;
    writeKey(Store_, {"head", "new", {}, "", ""});
    writeKey(Store_, createIfAbsent("added", "new"));
    restoreCopy(Store_, Copy, Start_);
    CPPUNIT_ASSERT_EQUAL(std::string("old"), findKey(Store_, "head")->Value_);
    CPPUNIT_ASSERT(findKey(Store_, "added") == nullptr);
  }

  void hasTheKeysThatWereRemovedSince() {
    const StoreModel Copy = Store_;
    const std::uint64_t Seen = watchIndex(Store_, "removed", false);
    removeKey(Store_, "removed", std::nullopt);
    restoreCopy(Store_, Copy, Start_);
    CPPUNIT_ASSERT_EQUAL(Seen, findKey(Store_, "removed")->ModifyIndex_);
    CPPUNIT_ASSERT_EQUAL(Seen, watchIndex(Store_, "removed", false));
  }

  void givesOutTheSameIndexesAgain() {
    const StoreModel Copy = Store_;
    writeKey(Store_, {"head", "lost", {}, "", ""});
    const std::uint64_t Lost = findKey(Store_, "head")->ModifyIndex_;
    restoreCopy(Store_, Copy, Start_);
    CPPUNIT_ASSERT(!writeKey(Store_, {"head", "next", Lost, "", ""}));
    writeKey(Store_, createIfAbsent("other", "next"));
    CPPUNIT_ASSERT_EQUAL(Lost, findKey(Store_, "other")->ModifyIndex_);
  }

  void keepsAWatchWaitingThatHasSeenALostIndex() {
    const StoreModel Copy = Store_;
    writeKey(Store_, {"head", "lost", {}, "", ""});
    const std::uint64_t Seen = watchIndex(Store_, "head", false);
    restoreCopy(Store_, Copy, Start_);
    writeKey(Store_, {"head", "next", {}, "", ""});
    CPPUNIT_ASSERT(!isWatchDue(Store_, "head", false, Seen));
    writeKey(Store_, {"head", "after", {}, "", ""});
    CPPUNIT_ASSERT(isWatchDue(Store_, "head", false, Seen));
  }

  void hasEndedTheLeasesThatWereCreatedSince() {
    const StoreModel Copy = Store_;
    const std::string Lost = createLease(Store_, milliseconds(100), Start_);
    writeKey(Store_, {"head", "locked", {}, Lost, ""});
    restoreCopy(Store_, Copy, Start_);
    CPPUNIT_ASSERT(!renewLease(Store_, Lost, Start_));
    CPPUNIT_ASSERT(!writeKey(Store_, {"head", "locked", {}, Lost, ""}));
    CPPUNIT_ASSERT_EQUAL(std::string(), findKey(Store_, "head")->Session_);
  }

  void startsTheTimeOfItsLeasesAnew() {
    const std::string Kept = createLease(Store_, milliseconds(100), Start_);
    writeKey(Store_, {"head", "locked", {}, Kept, ""});
    const StoreModel Copy = Store_;
    const TimePoint Restored = Start_ + milliseconds(500);
    restoreCopy(Store_, Copy, Restored);
    expireLeases(Store_, Restored + milliseconds(99));
    CPPUNIT_ASSERT_EQUAL(Kept, findKey(Store_, "head")->Session_);
    expireLeases(Store_, Restored + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string(), findKey(Store_, "head")->Session_);
  }

  void givesNoLeaseIdTwice() {
    const StoreModel Copy = Store_;
    const std::string Lost = createLease(Store_, milliseconds(100), Start_);
    restoreCopy(Store_, Copy, Start_);
    CPPUNIT_ASSERT(Lost != createLease(Store_, milliseconds(100), Start_));
  }

private:
  const TimePoint Start_{std::chrono::seconds(1000)};
  StoreModel Store_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(AStoreThatComesBackFromACopy);

} // namespace
