#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::test;
using model::milliseconds;

namespace {

/// What becomes of an idle connection that the process has decided to close.
class AnIdleConnectionThatIsClosed : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnIdleConnectionThatIsClosed);
  CPPUNIT_TEST(makesRoomForOneOtherOnly);
  CPPUNIT_TEST(doesNotStayBecauseTheFirstViewArrives);
  CPPUNIT_TEST(doesNotCutTheAnswerThatItsCallerStillReads);
  CPPUNIT_TEST(isKeptForARequestThatIsReadButNotHandled);
  CPPUNIT_TEST(isAnnouncedByAnswersThatKeepItOpenOnly);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a connection that is chosen again while its close is under
  /// way, so that descriptors run short all the same.
  void makesRoomForOneOtherOnly() {
    ScriptedServer Server(
        [](const auto &) { return ScriptedServer::answer("found"); });
    FrontEnd Front({{"cat-1", Server.port()}}, fewConnections(), 2);
    std::deque<RawCaller> Crowd;
    while (Crowd.size() < MostConnections)
      Crowd.emplace_back(Front.port()).call(request("GET", "/search/1"));
    // The second connection belongs to the thread that does not accept.
    Gate Held;
    Front.holdThread(Held);
    Crowd[1].send(request("GET", "/search/2"));
    CPPUNIT_ASSERT(eventually([&] { return Front.isThreadHeld(); }));
    std::deque<RawCaller> Newer;
    while (Newer.size() < 8)
      Newer.emplace_back(Front.port());
    // Time for the connections to be handed over to the held thread.
    std::this_thread::sleep_for(milliseconds(500));
    Held.open();
    CPPUNIT_ASSERT_EQUAL(200U, Crowd[1].read().Status_);
    CPPUNIT_ASSERT(settlesAt(Front, MostConnections));
  }

  /// Guards against a refused connection that is started after all, and then
  /// keeps its descriptor for the idle limit.
  void doesNotStayBecauseTheFirstViewArrives() {
    adapters::HttpLimits Limits = fewConnections();
    Limits.FreshWait_ = milliseconds(60000);
    FrontEnd Front({}, Limits, 1, adapters::nativeDialect(), /*HasView=*/false);
    std::deque<RawCaller> Crowd;
    while (Crowd.size() <= MostConnections)
      Crowd.emplace_back(Front.port());
    CPPUNIT_ASSERT_EQUAL(503U, Crowd.front().read().Status_);
    Front.publish();
    CPPUNIT_ASSERT(settlesAt(Front, MostConnections));
  }

  /// Guards against a reset that drops what the kernel still holds of an answer
  /// that did not announce the close.
  void doesNotCutTheAnswerThatItsCallerStillReads() {
    const std::string Body(1048576, 'b');
    ScriptedServer Server(
        [&](const auto &) { return ScriptedServer::answer(Body); });
    adapters::HttpLimits Limits;
    Limits.DrainAcceptTime_ = milliseconds(10000);
    Limits.DrainIdleTime_ = milliseconds(1000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    RawCaller Caller(Front.port());
    Caller.send(request("GET", "/search/1"));
    // Time for the kernel to take the whole answer.
    std::this_thread::sleep_for(milliseconds(500));
    Front.traffic().drain([] {});
    std::this_thread::sleep_for(Limits.DrainIdleTime_ + milliseconds(300));
    Caller.send(request("GET", "/search/2"));
    std::this_thread::sleep_for(milliseconds(100));
    const RawCaller::Answer Answer = Caller.read();
    CPPUNIT_ASSERT_EQUAL(Body.size(), Answer.Body_.size());
    CPPUNIT_ASSERT(Answer.Whole_);
  }

  /// Guards against a close that asks the kernel alone, while a read that has
  /// ended with the request waits for its turn.
  void isKeptForARequestThatIsReadButNotHandled() {
    ScriptedServer Server(
        [](const auto &) { return ScriptedServer::answer("found"); });
    adapters::HttpLimits Limits;
    Limits.DrainIdleTime_ = milliseconds(0);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 2);
    std::deque<RawCaller> Crowd;
    while (Crowd.size() < 2)
      Crowd.emplace_back(Front.port()).call(request("GET", "/search/1"));
    // Every second connection belongs to the thread that does not accept.
    Gate Held;
    Front.holdThread(Held);
    Crowd[1].send(request("GET", "/search/2"));
    CPPUNIT_ASSERT(eventually([&] { return Front.isThreadHeld(); }));
    Crowd.emplace_back(Front.port());
    Crowd.emplace_back(Front.port()).send(request("GET", "/search/3"));
    // Time for the connection to be handed over and for the next tick.
    std::this_thread::sleep_for(milliseconds(300));
    Front.traffic().drain([] {});
    std::this_thread::sleep_for(milliseconds(100));
    Held.open();
    const RawCaller::Answer Answer = Crowd[3].read();
    CPPUNIT_ASSERT_EQUAL(503U, Answer.Status_);
    CPPUNIT_ASSERT(Answer.Whole_);
  }

  /// Guards against callers who are told no time, or one for a connection that
  /// closes.
  void isAnnouncedByAnswersThatKeepItOpenOnly() {
    FrontEnd Front({}, {}, 1);
    RawCaller Caller(Front.port());
    const auto Kept = Caller.call(request("GET", "/search/1"));
    CPPUNIT_ASSERT_EQUAL(503U, Kept.Status_);
    CPPUNIT_ASSERT(Kept.Head_.find("Keep-Alive: timeout=60") !=
                   std::string::npos);
    const auto Last = Caller.call("GET /search/2 HTTP/1.0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(503U, Last.Status_);
    CPPUNIT_ASSERT(Last.Head_.find("Keep-Alive") == std::string::npos);
  }

private:
  /// Which follows from the descriptors.
  static constexpr std::size_t MostConnections = 10;

  static adapters::HttpLimits fewConnections() {
    adapters::HttpLimits Out;
    Out.Descriptors_ = 2 * MostConnections;
    return Out;
  }

  static bool settlesAt(FrontEnd &Front, std::uint64_t Count) {
    return eventually(
        [&] { return Front.traffic().stats().CallerConnections_ == Count; });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnIdleConnectionThatIsClosed);

} // namespace
