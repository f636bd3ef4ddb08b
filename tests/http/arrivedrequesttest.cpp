#include "http/busythread.h"
#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <memory>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::test;
using model::milliseconds;

namespace {

/// A whole request that has reached the process when its connection becomes due
/// to be closed.
class ARequestThatHasArrived : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ARequestThatHasArrived);
  CPPUNIT_TEST(isAnsweredWhenTheThreadWakesAfterTheIdleLimit);
  CPPUNIT_TEST(isNotCutByAnIdleTimerThatIsHandledLate);
  CPPUNIT_TEST(isNotCutAmongMoreThanOneTurnShows);
  CPPUNIT_TEST(isNotCutByAnIdleTimerBetweenTwoPieces);
  CPPUNIT_TEST(isNotCutByTheIdleLimitBeforeARaise);
  CPPUNIT_TEST(isNotCutByTheIdleLimitBeforeAReload);
  CPPUNIT_TEST(isNotCutByALowerLimitThanItsCallerWasTold);
  CPPUNIT_TEST(isNotCutWhenItsConnectionIsDisplaced);
  CPPUNIT_TEST(isNotCutWhenItsConnectionIsDisplacedBeforeTheFirstView);
  CPPUNIT_TEST(isNotCutByTheLastMomentOfAStopThatIsHandledLate);
  CPPUNIT_TEST(isNotCutByAStopAmongMoreThanOneTurnShows);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Server_ = std::make_unique<ScriptedServer>(
        [](const auto &) { return ScriptedServer::answer("found"); });
  }

  void tearDown() override { Server_.reset(); }

  /// Guards against an idle timer that goes before a read that is due as well.
  void isAnsweredWhenTheThreadWakesAfterTheIdleLimit() {
    FrontEnd Front({{"cat-1", Server_->port()}}, idleLimit(IdleLimit), 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search/1"));
    BusyThread Busy(Front);
    Busy.begin();
    Caller.send(request("GET", "/search/2"));
    std::this_thread::sleep_for(IdleLimit + Margin);
    Busy.end();
    CPPUNIT_ASSERT(isAnswered(Caller.read()));
  }

  /// Guards against an idle timer that is due, and closes the connection
  /// without a look at what has arrived until it is handled.
  void isNotCutByAnIdleTimerThatIsHandledLate() {
    FrontEnd Front({{"cat-1", Server_->port()}}, idleLimit(IdleLimit), 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search/1"));
    BusyThread Busy(Front);
    Busy.begin();
    std::this_thread::sleep_for(IdleLimit + Margin);
    Busy.takeWhatIsDue();
    Caller.send(request("GET", "/search/2"));
    Busy.end();
    CPPUNIT_ASSERT(isAnswered(Caller.read()));
  }

  /// Guards against requests that were sent in time and are cut because one
  /// turn of the thread shows only some of the connections that can be read.
  void isNotCutAmongMoreThanOneTurnShows() {
    FrontEnd Front({{"cat-1", Server_->port()}}, idleLimit(LongerLimit), 1);
    std::deque<RawCaller> Crowd;
    for (std::size_t I = 0; I < Callers; ++I)
      Crowd.emplace_back(Front.port()).call(request("GET", "/search/1"));
    BusyThread Busy(Front);
    Busy.begin();
    // Time for the thread's timer to become due before the first request.
    std::this_thread::sleep_for(Margin);
    for (RawCaller &Caller : Crowd)
      Caller.send(request("GET", "/search/2"));
    std::this_thread::sleep_for(LongerLimit + Margin);
    Busy.end();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), unanswered(Crowd));
  }

  /// Guards against a request of which the first piece has arrived when the
  /// idle timer is handled.
  void isNotCutByAnIdleTimerBetweenTwoPieces() {
    FrontEnd Front({{"cat-1", Server_->port()}}, idleLimit(IdleLimit), 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search/1"));
    const std::string Whole = request("POST", "/licence", "", "body");
    BusyThread Busy(Front);
    Busy.begin();
    std::this_thread::sleep_for(IdleLimit + Margin);
    Busy.takeWhatIsDue();
    Caller.send(Whole.substr(0, 1));
    Busy.end();
    std::this_thread::sleep_for(Margin);
    Caller.send(Whole.substr(1));
    CPPUNIT_ASSERT(isAnswered(Caller.read()));
  }

  /// Guards against connections that keep the idle limit with which they became
  /// idle, while callers count by the one in force.
  void isNotCutByTheIdleLimitBeforeARaise() {
    FrontEnd Front({{"cat-1", Server_->port()}}, idleLimit(LongerLimit), 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search/1"));
    awaitIdle(Front);
    Front.changePreset([](model::Preset &Preset) {
      Preset.Callers_.IdleTimeout_ = milliseconds(60000);
    });
    std::this_thread::sleep_for(LongerLimit + Margin);
    CPPUNIT_ASSERT(isAnswered(Caller.call(request("GET", "/search/2"))));
  }

  /// Guards against the same when the settings are read again.
  void isNotCutByTheIdleLimitBeforeAReload() {
    FrontEnd Front({{"cat-1", Server_->port()}}, idleLimit(LongerLimit), 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search/1"));
    awaitIdle(Front);
    Front.traffic().setLimits(idleLimit(milliseconds(60000)));
    std::this_thread::sleep_for(LongerLimit + Margin);
    CPPUNIT_ASSERT(isAnswered(Caller.call(request("GET", "/search/2"))));
  }

  /// Guards against a lowered limit that cuts callers who were told a longer
  /// one, and against one that they never follow.
  void isNotCutByALowerLimitThanItsCallerWasTold() {
    FrontEnd Front({{"cat-1", Server_->port()}}, idleLimit(milliseconds(60000)),
                   1);
    RawCaller Caller(Front.port());
    const auto Told = Caller.call(request("GET", "/search/1"));
    CPPUNIT_ASSERT(Told.Head_.find("Keep-Alive: timeout=48") !=
                   std::string::npos);
    awaitIdle(Front);
    Front.changePreset([](model::Preset &Preset) {
      Preset.Callers_.IdleTimeout_ = milliseconds(500);
    });
    std::this_thread::sleep_for(IdleLimit);
    CPPUNIT_ASSERT(isAnswered(Caller.call(request("GET", "/search/2"))));
    CPPUNIT_ASSERT(Caller.awaitBytes());
    CPPUNIT_ASSERT(Caller.read().Closed_);
  }

  /// Guards against a connection that is closed to make room for another with
  /// a request unread.
  void isNotCutWhenItsConnectionIsDisplaced() {
    FrontEnd Front({{"cat-1", Server_->port()}}, fewConnections(), 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search/1"));
    BusyThread Busy(Front);
    std::deque<RawCaller> Others;
    while (Others.size() + 3 < MostConnections)
      Others.emplace_back(Front.port()).call(request("GET", "/search/1"));
    Busy.begin();
    RawCaller Newest(Front.port());
    Busy.takeWhatIsDue();
    Caller.send(request("GET", "/search/2"));
    Busy.end();
    CPPUNIT_ASSERT(isAnswered(Caller.read()));
  }

  /// Guards against a connection that counts as idle, because nothing of it is
  /// read before the first view, and is closed with its request unread.
  void isNotCutWhenItsConnectionIsDisplacedBeforeTheFirstView() {
    adapters::HttpLimits Limits = fewConnections();
    Limits.FreshWait_ = milliseconds(60000);
    FrontEnd Front({{"cat-1", Server_->port()}}, Limits, 1,
                   adapters::nativeDialect(), /*HasView=*/false);
    std::deque<RawCaller> Crowd;
    for (std::size_t I = 0; I <= MostConnections; ++I)
      Crowd.emplace_back(Front.port()).send(request("GET", "/search/1"));
    std::this_thread::sleep_for(Margin);
    Front.publish();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), unanswered(Crowd));
  }

  /// Guards against a stop that closes an idle connection without a look at
  /// what has arrived.
  void isNotCutByTheLastMomentOfAStopThatIsHandledLate() {
    adapters::HttpLimits Limits;
    Limits.DrainIdleTime_ = milliseconds(3000);
    FrontEnd Front({{"cat-1", Server_->port()}}, Limits, 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search/1"));
    BusyThread Busy(Front);
    Front.traffic().drain([] {});
    Busy.begin();
    std::this_thread::sleep_for(Limits.DrainIdleTime_ + Margin);
    Busy.takeWhatIsDue();
    Caller.send(request("GET", "/search/2"));
    Busy.end();
    const RawCaller::Answer Answer = Caller.read();
    CPPUNIT_ASSERT_EQUAL(503U, Answer.Status_);
    CPPUNIT_ASSERT(Answer.ResultCode_.find("NotRunStopping") !=
                   std::string::npos);
  }

  /// Guards against a stop that closes those idle connections of which one turn
  /// of the thread does not show that they can be read.
  void isNotCutByAStopAmongMoreThanOneTurnShows() {
    adapters::HttpLimits Limits;
    Limits.DrainIdleTime_ = milliseconds(3000);
    FrontEnd Front({{"cat-1", Server_->port()}}, Limits, 1);
    std::deque<RawCaller> Crowd;
    for (std::size_t I = 0; I < Callers; ++I)
      Crowd.emplace_back(Front.port()).call(request("GET", "/search/1"));
    BusyThread Busy(Front);
    Front.traffic().drain([] {});
    Busy.begin();
    // Time for the thread's timer to become due before the first request.
    std::this_thread::sleep_for(Margin);
    for (RawCaller &Caller : Crowd)
      Caller.send(request("GET", "/search/2"));
    std::this_thread::sleep_for(Limits.DrainIdleTime_);
    Busy.end();
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), unanswered(Crowd));
  }

private:
  /// More than the 128 events that the reactor takes from the kernel at once.
  static constexpr std::size_t Callers = 150;
  static constexpr milliseconds IdleLimit{2000};
  static constexpr milliseconds LongerLimit{4000};
  static constexpr milliseconds Margin{500};
  /// Which follows from the descriptors.
  static constexpr std::size_t MostConnections = 10;

  static adapters::HttpLimits idleLimit(milliseconds Limit) {
    adapters::HttpLimits Out;
    Out.IdleTimeout_ = Limit;
    return Out;
  }

  /// Waits until connections count as idle whose answers have been read.
  static void awaitIdle(FrontEnd &Front) {
    RawCaller(Front.port()).call(request("GET", "/search/later"));
  }

  static adapters::HttpLimits fewConnections() {
    adapters::HttpLimits Out;
    Out.Descriptors_ = 2 * MostConnections;
    return Out;
  }

  std::unique_ptr<ScriptedServer> Server_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ARequestThatHasArrived);

} // namespace
