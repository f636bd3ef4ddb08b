#include "control/directoryprocess.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;
using model::milliseconds;

namespace {

constexpr auto Config = ports::DirectoryTopic::Configuration;
constexpr auto Servers = ports::DirectoryTopic::Servers;
/// Time within which a leaving mark or a configuration must be in force.
constexpr milliseconds Bound{2000};

/// A directory answers polls as it should, and nothing else.
void answerPollsFor(DirectoryProcess &Running, milliseconds Time,
                    const std::vector<ports::ServerEntry> &Changed,
                    std::uint64_t Version, std::uint64_t Revision) {
  for (milliseconds Passed{0}; Passed < Time; Passed += milliseconds(50)) {
    Running.wait(milliseconds(50));
    while (const CallDirectory *Poll = Running.poll()) {
      const bool IsNew = Poll->Request_.After_ < Revision;
      ports::DirectoryResponse Out;
      if (IsNew && Poll->Request_.Topic_ == Servers)
        Out.Servers_ = Changed;
      if (IsNew && Poll->Request_.Topic_ == Config)
        Out = configuration(Version, Revision);
      Out.Revision_ = Revision;
      Running.answer(Poll, Out);
    }
  }
}

/// What shows a process that its view is complete. Guards against watches that
/// are trusted although their responses never come.
class Evidence : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(Evidence);
  CPPUNIT_TEST(ofPollsBringsWhatTheWatchesDoNot);
  CPPUNIT_TEST(isRequestedAgainWhenAPollIsNotAnswered);
  CPPUNIT_TEST(isReadAnewWhenAPollFindsTheHistoryGone);
  CPPUNIT_TEST(isReadAnewWhenTheDirectoryHasGoneBack);
  CPPUNIT_TEST(isNotGivenByPings);
  CPPUNIT_TEST(isNotGivenByAWatchThatWasAnsweredLate);
  CPPUNIT_TEST(ofOneTopicCoversTheOtherUpToItsRevision);
  CPPUNIT_TEST(costsAPollInATimeWhileNothingChanges);
  CPPUNIT_TEST(isLeftToPeersInAFleetOfSmallZones);
  CPPUNIT_TEST(neverCoversAChangeThatIsNotInTheView);
  CPPUNIT_TEST_SUITE_END();

public:
  void ofPollsBringsWhatTheWatchesDoNot() {
    DirectoryProcess Running = makeSettledProcess();
    answerPollsFor(Running, milliseconds(5000), {}, 5, 10);
    answerPollsFor(Running, Bound, {listed("a", true)}, 6, 12);
    CPPUNIT_ASSERT(Running.isLeaving("a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Running.view()->Config_->Version_);
  }

  void isRequestedAgainWhenAPollIsNotAnswered() {
    DirectoryProcess Running = makeSettledProcess();
    const StoreCallId Lost = Running.nextPoll()->Call_;
    Running.wait(milliseconds(400));
    CPPUNIT_ASSERT(Running.poll()->Call_ != Lost);
    answerPollsFor(Running, milliseconds(700), {listed("a", true)}, 6, 12);
    CPPUNIT_ASSERT(Running.isLeaving("a"));
  }

  void isReadAnewWhenAPollFindsTheHistoryGone() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Running.nextPoll(), compacted());
    CPPUNIT_ASSERT(Running.call(Servers)->Request_.Operation_ ==
                   ports::DirectoryOperation::Read);
    Running.answer(Servers, servers({listed("b"), listed("c")}, 50));
    CPPUNIT_ASSERT(!Running.isListed("a"));
  }

  void isReadAnewWhenTheDirectoryHasGoneBack() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Running.nextPoll(), servers({}, 7));
    CPPUNIT_ASSERT(Running.call(Servers)->Request_.Operation_ ==
                   ports::DirectoryOperation::Read);
  }

  void isNotGivenByPings() {
    DirectoryProcess Running = makeSettledProcess();
    const model::TimePoint Before = Running.confirmedAt();
    for (int I = 0; I < 2; ++I)
      Running.answer(Running.nextPoll(), failure());
    Running.wait(milliseconds(500));
    Running.answer(Running.ping(), {});
    CPPUNIT_ASSERT(Running.confirmedAt() == Before);
  }

  void isNotGivenByAWatchThatWasAnsweredLate() {
    DirectoryProcess Running = makeSettledProcess();
    const model::TimePoint Before = Running.confirmedAt();
    Running.nextPoll();
    Running.answer(Servers, servers({listed("d")}, 11));
    CPPUNIT_ASSERT(Running.isListed("d"));
    CPPUNIT_ASSERT(Running.confirmedAt() == Before);
  }

  void ofOneTopicCoversTheOtherUpToItsRevision() {
    DirectoryProcess Running = makeSettledProcess();
    Running.nextPoll();
    const model::TimePoint IssuedAt = Running.now();
    Running.answerChecks();
    CPPUNIT_ASSERT(!Running.poll());
    CPPUNIT_ASSERT(Running.confirmedAt() == IssuedAt);
    Running.answer(Running.nextPoll(), servers({}, 12)); // no server changed
    CPPUNIT_ASSERT(Running.poll()->Request_.Topic_ == Config);
    Running.answer(Running.poll(), servers({}, 12));
    CPPUNIT_ASSERT(!Running.poll());
  }

  void costsAPollInATimeWhileNothingChanges() {
    DirectoryProcess Running = makeSettledProcess();
    const unsigned Before = Running.calls();
    Running.waitUnchanged(model::seconds(10));
    CPPUNIT_ASSERT(Running.calls() - Before <= 10);
  }

  /// The fleet's zones are too small for readers of their own.
  void isLeftToPeersInAFleetOfSmallZones() {
    DirectoryFleet Fleet({/*Zones_=*/3, /*ZoneSize_=*/5});
    Fleet.put(listed("c"));
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Fleet.watchers().size());
    const auto Readers = Fleet.watchers();
    CPPUNIT_ASSERT(*Readers.begin() / 5 != *Readers.rbegin() / 5);
    Fleet.put(listed("a", true));
    Fleet.wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
    for (const unsigned Reader : Readers)
      Fleet.cut(Reader);
    Fleet.put(listed("b", true));
    Fleet.wait(Bound - milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("b"));
  }

  void neverCoversAChangeThatIsNotInTheView() {
    CPPUNIT_ASSERT(rc::check("a view holds what it claims to hold", [] {
      DirectoryFleet Fleet({*rc::gen::inRange(1U, 4U), 6});
      Fleet.copyDirectory();
      Marks Left;
      for (int I = 0; I < 40; ++I) {
        disturb(Fleet, Left);
        Fleet.wait(milliseconds(*rc::gen::inRange(1, 12) * 50));
        checkClaims(Fleet, Left);
      }
      calm(Fleet);
      Fleet.wait(model::seconds(6));
      for (unsigned I = 0; I < Fleet.size(); ++I)
        RC_ASSERT(ageMs(Fleet, I) < Bound.count());
      checkClaims(Fleet, Left);
    }));
  }

private:
  /// Servers that were marked as leaving, with the time of the mark.
  using Marks = std::map<std::string, model::TimePoint>;

  /// Makes one random change.
  static void disturb(DirectoryFleet &Fleet, Marks &Left) {
    const unsigned Process = *rc::gen::inRange(0U, Fleet.size());
    const std::string Name = *rc::gen::element<std::string>("a", "b", "c", "d");
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
      return Fleet.pause(Process, true);
    case 1:
      return Fleet.pause(Process, false);
    case 2:
      return Fleet.setDelay(Process,
                            milliseconds(*rc::gen::inRange(0, 30) * 50));
    case 3:
      return Fleet.setPageSize(*rc::gen::inRange<std::size_t>(0, 4));
    case 4:
      return Fleet.loseResponses(Process, *rc::gen::inRange(1U, 4U));
    case 5:
      return Fleet.compact();
    case 6:
      return Fleet.setAway(*rc::gen::arbitrary<bool>(),
                           DirectoryFleet::WaitingWatches::Keep);
    case 7:
      return Fleet.restart(Process);
    case 8:
      return Fleet.copyDirectory();
    case 9:
      return restore(Fleet, Left);
    case 10:
      Left.emplace(Name, Fleet.now());
      return Fleet.put(listed(Name, true));
    default:
      return Fleet.put(listed(Name, Left.count(Name) > 0));
    }
  }

  /// Restores the directory from the copy. What was lost is written again.
  static void restore(DirectoryFleet &Fleet, Marks &Left) {
    Fleet.restoreFromCopy();
    for (auto &[Name, MarkedAt] : Left) {
      MarkedAt = Fleet.now();
      Fleet.put(listed(Name, true));
    }
  }

  /// Returns the time since a process has known its view to be complete.
  static long long ageMs(const DirectoryFleet &Fleet, unsigned Number) {
    return std::chrono::duration_cast<milliseconds>(Fleet.now() -
                                                    Fleet.confirmedAt(Number))
        .count();
  }

  /// Ends all disturbances.
  static void calm(DirectoryFleet &Fleet) {
    Fleet.setAway(false);
    for (unsigned I = 0; I < Fleet.size(); ++I) {
      Fleet.pause(I, false);
      Fleet.setDelay(I, milliseconds(0));
      Fleet.loseResponses(I, 0);
    }
  }

  /// Checks that each view holds every mark that was made before the time as of
  /// which the view is said to be complete.
  static void checkClaims(const DirectoryFleet &Fleet, const Marks &Left) {
    for (unsigned I = 0; I < Fleet.size(); ++I)
      for (const auto &[Name, MarkedAt] : Left)
        if (Fleet.hasView(I) && MarkedAt < Fleet.confirmedAt(I))
          RC_ASSERT(Fleet.isLeaving(I, Name));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(Evidence);

} // namespace
