#include "control/directoryprocess.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;
using ports::DirectoryOperation;
using ports::DirectoryTopic;

namespace {

constexpr auto Config = DirectoryTopic::Configuration;
constexpr auto Servers = DirectoryTopic::Servers;
using Process = DirectoryProcess;

class FollowingADirectory : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowingADirectory);
  CPPUNIT_TEST(showsNothingBeforeBothTopicsAreKnown);
  CPPUNIT_TEST(watchesFromWhereItRead);
  CPPUNIT_TEST(takesALeavingMarkWithinItsBound);
  CPPUNIT_TEST(asksSeldomWhileMuchChanges);
  CPPUNIT_TEST(readsAgainAfterAWatchThatWasCut);
  CPPUNIT_TEST(readsAgainAfterAWatchThatEndedEarly);
  CPPUNIT_TEST(doesNotRelyOnAWatchThatASilentDirectoryMayNeverAnswer);
  CPPUNIT_TEST(readsAgainWhenTheHistoryIsGone);
  CPPUNIT_TEST(neverGoesBackToAnOlderVersion);
  CPPUNIT_TEST(keepsServersThatExpiredTogetherForAWhile);
  CPPUNIT_TEST(dropsServersThatStayAwayHoweverMany);
  CPPUNIT_TEST(dropsAFewMissingServersAtOnce);
  CPPUNIT_TEST(readsEverythingAfterAPause);
  CPPUNIT_TEST(readsAllPages);
  CPPUNIT_TEST(readsAllPagesAlthoughAnotherCallFails);
  CPPUNIT_TEST(readsFromTheFirstPageAfterAnOverduePage);
  CPPUNIT_TEST(leavesAnUnreadableEntryOut);
  CPPUNIT_TEST(recordsWhenTheDirectoryWasRestored);
  CPPUNIT_TEST(readsAgainWhenTheDirectoryWasRestoredBetweenTwoPages);
  CPPUNIT_TEST(recordsAResponseOfAnOlderEraOnceAMinute);
  CPPUNIT_TEST_SUITE_END();

public:
  void showsNothingBeforeBothTopicsAreKnown() {
    Process Starting;
    Starting.answer(Config, configuration(5, 10));
    CPPUNIT_ASSERT(!Starting.view());
    Starting.answer(Servers, servers({listed("a")}, 10));
    CPPUNIT_ASSERT(Starting.isListed("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("version 5"),
                         Starting.view()->Config_->PresetInForce_);
  }

  void watchesFromWhereItRead() {
    Process Running = makeSettledProcess();
    for (const auto Topic : {Config, Servers}) {
      const auto &Request = Running.call(Topic)->Request_;
      CPPUNIT_ASSERT(Request.Operation_ == DirectoryOperation::Watch);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(10), Request.After_);
    }
  }

  void takesALeavingMarkWithinItsBound() {
    Process Running = makeSettledProcess();
    Running.answer(Servers, servers({listed("a", true)}, 11));
    CPPUNIT_ASSERT(Running.isLeaving("a"));
    // The next mark follows shortly after, so the watch must have been started
    // again in time.
    Running.waitUnchanged(model::milliseconds(1500));
    Running.answer(Servers, servers({listed("b", true)}, 12));
    CPPUNIT_ASSERT(Running.isLeaving("b"));
  }

  void asksSeldomWhileMuchChanges() {
    Process Running = makeSettledProcess();
    const unsigned Before = Running.calls();
    unsigned Polls = 0;
    for (std::uint64_t Revision = 11; Revision < 211; ++Revision) {
      const std::string Changed = "s" + std::to_string(Revision);
      if (Running.call(Servers))
        Running.answer(Servers, servers({listed(Changed)}, Revision));
      for (; Running.poll(); ++Polls)
        Running.answer(Running.poll(),
                       Running.poll()->Request_.Topic_ == Servers
                           ? servers({listed(Changed)}, Revision)
                           : servers({}, Revision));
      Running.wait(model::milliseconds(50)); // ten seconds in all
    }
    CPPUNIT_ASSERT_LESSEQUAL(10U, Polls);
    CPPUNIT_ASSERT_LESSEQUAL(10U, Running.calls() - Before - Polls);
  }

  void readsAgainAfterAWatchThatWasCut() {
    Process Running = makeSettledProcess();
    Running.answer(Config, failure());
    Running.waitUnchanged(model::milliseconds(500));
    CPPUNIT_ASSERT(Running.call(Config)->Request_.Operation_ ==
                   DirectoryOperation::Read);
    Running.answer(Config, configuration(9, 40));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Running.view()->Config_->Version_);
  }

  void readsAgainAfterAWatchThatEndedEarly() {
    Process Running = makeSettledProcess();
    Running.waitUnchanged(model::seconds(1));
    Running.answer(Servers, servers({}, 30));
    CPPUNIT_ASSERT(Running.call(Servers)->Request_.Operation_ ==
                   DirectoryOperation::Read);
  }

  /// Guards against a watch that was sent while the directory was silent: a
  /// later configuration was not noticed for half a minute.
  void doesNotRelyOnAWatchThatASilentDirectoryMayNeverAnswer() {
    Process Running = makeSettledProcess();
    CPPUNIT_ASSERT(Running.call(Config)->Request_.Operation_ ==
                   DirectoryOperation::Watch);
    Running.answer(Running.nextPoll(), failure());
    Running.answer(Running.nextPoll(), servers({}, 11));
    CPPUNIT_ASSERT(Running.poll()->Request_.Topic_ == Config);
    Running.answer(Running.poll(), configuration(6, 11));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Running.view()->Config_->Version_);
    Running.waitUnchanged(model::milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(11),
                         Running.call(Config)->Request_.After_);
  }

  void readsAgainWhenTheHistoryIsGone() {
    Process Running = makeSettledProcess();
    Running.answer(Servers, compacted());
    Running.answer(Servers, servers({listed("b"), listed("c")}, 50));
    CPPUNIT_ASSERT(!Running.isListed("a"));
  }

  void neverGoesBackToAnOlderVersion() {
    Process Running = makeSettledProcess();
    Running.answer(Config, configuration(4, 11));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Running.view()->Config_->Version_);
    Running.waitUnchanged(model::seconds(2));
    Running.answer(Config, configuration(6, 12));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6), Running.view()->Config_->Version_);
  }

  void keepsServersThatExpiredTogetherForAWhile() {
    Process Running = makeSettledProcess();
    Running.answer(Servers, failure());
    Running.waitUnchanged(model::milliseconds(500));
    Running.answer(Servers, servers({listed("a")}, 60));
    CPPUNIT_ASSERT(Running.isListed("b"));
    CPPUNIT_ASSERT(Running.isListed("c"));
    Running.waitUnchanged(model::milliseconds(2300));
    Running.answer(Servers, servers({listed("a"), listed("b")}, 70));
    CPPUNIT_ASSERT(Running.isListed("b"));
    CPPUNIT_ASSERT(!Running.isListed("c"));
  }

  void dropsServersThatStayAwayHoweverMany() {
    Process Running = makeSettledProcess();
    Running.answer(Servers, failure());
    Running.waitUnchanged(model::milliseconds(500));
    Running.answer(Servers, servers({listed("a")}, 60));
    for (std::uint64_t Revision = 61; Revision < 64; ++Revision) {
      Running.waitUnchanged(model::milliseconds(1300));
      if (Running.call(Servers)->Request_.Operation_ ==
          DirectoryOperation::Read)
        Running.answer(Servers, servers({listed("a")}, Revision));
    }
    CPPUNIT_ASSERT(Running.isListed("a"));
    CPPUNIT_ASSERT(!Running.isListed("b") && !Running.isListed("c"));
  }

  /// Few servers are missing after the process itself lost the directory, so it
  /// must not wait for them to register again.
  void dropsAFewMissingServersAtOnce() {
    Process Running = makeSettledProcess();
    Running.answer(Servers, failure());
    Running.waitUnchanged(model::milliseconds(500));
    Running.answer(Servers, servers({listed("a"), listed("b")}, 60));
    CPPUNIT_ASSERT(!Running.isListed("c"));
  }

  void readsEverythingAfterAPause() {
    Process Running = makeSettledProcess();
    Running.sleep(model::seconds(12));
    for (const auto Topic : {Config, Servers})
      CPPUNIT_ASSERT(Running.call(Topic)->Request_.Operation_ ==
                     DirectoryOperation::Read);
  }

  void readsAllPages() {
    Process Starting;
    Starting.answer(Config, configuration(5, 10));
    auto First = servers({listed("a")}, 10);
    First.Next_ = "servers/a";
    Starting.answer(Servers, First);
    CPPUNIT_ASSERT(!Starting.view());
    CPPUNIT_ASSERT_EQUAL(std::string("servers/a"),
                         Starting.call(Servers)->Request_.Page_);
    Starting.answer(Servers, servers({listed("b")}, 14));
    CPPUNIT_ASSERT(Starting.isListed("a") && Starting.isListed("b"));
    // The watch also covers what changed between the pages.
    Starting.waitUnchanged(model::seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10),
                         Starting.call(Servers)->Request_.After_);
  }

  /// Guards against a list that has only the servers of its last page.
  void readsAllPagesAlthoughAnotherCallFails() {
    Process Starting;
    auto First = servers({listed("a")}, 10);
    First.Next_ = "servers/a";
    Starting.answer(Servers, First);
    CPPUNIT_ASSERT_EQUAL(std::string("servers/a"),
                         Starting.call(Servers)->Request_.Page_);
    Starting.answer(Config, failure());
    Starting.answer(Servers, servers({listed("b")}, 10));
    Starting.waitUnchanged(model::milliseconds(500));
    Starting.answer(Config, configuration(5, 10));
    CPPUNIT_ASSERT(Starting.isListed("a") && Starting.isListed("b"));
  }

  /// Guards against pages that were read long before the others.
  void readsFromTheFirstPageAfterAnOverduePage() {
    Process Starting;
    Starting.answer(Config, configuration(5, 10));
    auto First = servers({listed("a")}, 10);
    First.Next_ = "servers/a";
    Starting.answer(Servers, First);
    const StoreCallId Overdue = Starting.call(Servers)->Call_;
    while (Starting.call(Servers)->Call_ == Overdue) {
      Starting.answerChecks();
      Starting.waitUnchanged(model::milliseconds(500));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), Starting.call(Servers)->Request_.Page_);
  }

  void leavesAnUnreadableEntryOut() {
    Process Running = makeSettledProcess();
    ports::DirectoryResponse Answer = servers({{"a", std::nullopt}}, 11);
    Answer.Unreadable_ = {{"servers/a", "cannot be read"}};
    Running.answer(Servers, Answer);
    CPPUNIT_ASSERT(!Running.isListed("a"));
    CPPUNIT_ASSERT(Running.isListed("b"));
  }

  void recordsWhenTheDirectoryWasRestored() {
    Process Running = makeSettledProcess();
    Running.answer(Servers, ofEra(3, servers({listed("d")}, 120)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Running.era().Number_);
    CPPUNIT_ASSERT(Running.events(model::EventKind::StoreRestored).empty());
    Running.waitUnchanged(model::seconds(2));
    Running.answer(Servers, ofEra(4, failure()));
    Running.waitUnchanged(model::seconds(2));
    Running.answer(Servers, ofEra(5, servers({listed("d")}, 95)));
    const auto Found = Running.events(model::EventKind::StoreRestored);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Found.size());
    CPPUNIT_ASSERT_EQUAL(
        std::string("era 4 after 3; revision unknown after 120"),
        Found[0].Detail_);
    CPPUNIT_ASSERT_EQUAL(std::string("era 5 after 4; revision 95 after 120"),
                         Found[1].Detail_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Running.era().Restores_);
  }

  void readsAgainWhenTheDirectoryWasRestoredBetweenTwoPages() {
    Process Starting;
    Starting.answer(Config, ofEra(3, configuration(5, 10)));
    auto First = servers({listed("a"), listed("b")}, 120);
    First.Next_ = "servers/b";
    Starting.answer(Servers, ofEra(3, First));
    Starting.answer(Servers, ofEra(4, servers({listed("c")}, 95)));
    Starting.waitUnchanged(model::seconds(2));
    const auto &Request = Starting.call(Servers)->Request_;
    CPPUNIT_ASSERT(Request.Operation_ == DirectoryOperation::Read);
    CPPUNIT_ASSERT_EQUAL(std::string(), Request.Page_);
    // "b" has gone with what was lost.
    Starting.answer(Servers, ofEra(4, servers({listed("a"), listed("c")}, 96)));
    CPPUNIT_ASSERT(!Starting.isListed("b"));
  }

  void recordsAResponseOfAnOlderEraOnceAMinute() {
    Process Running = makeSettledProcess();
    const auto TakeFromEra = [&](std::uint64_t Era) {
      Running.answerChecks();
      Running.waitUnchanged(model::milliseconds(50));
      Running.answer(Config, ofEra(Era, configuration(5, 11)));
      Running.waitUnchanged(model::seconds(2));
    };
    for (const std::uint64_t Era : {4, 3, 3, 4, 3})
      TakeFromEra(Era);
    const auto Found = Running.events(model::EventKind::Alarm);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Found.size());
    CPPUNIT_ASSERT_EQUAL(std::string("response of era 3, older than 4"),
                         Found[0].Detail_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Running.era().Number_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Running.era().Restores_);
    for (int I = 0; I < 30; ++I) { // a minute in all
      Running.waitUnchanged(model::seconds(2));
      Running.answerChecks();
    }
    TakeFromEra(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         Running.events(model::EventKind::Alarm).size());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FollowingADirectory);

} // namespace
