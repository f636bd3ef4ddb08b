#include "http/frontend.h"
#include "http/gate.h"
#include "http/scriptedserver.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

using Request = ScriptedServer::Request;

/// One traffic thread with at most one connection to each of two servers. The
/// first one answers when its gate is open; the second one is leaving at first.
class TwoServers {
public:
  TwoServers()
      : First_([this](const Request &) {
          Answering_.pass();
          return ScriptedServer::answer("first");
        }),
        Second_([](const Request &Seen) {
          return ScriptedServer::answer("second " + Seen.Body_);
        }),
        Front_({{"cat-1", First_.port()}, {"cat-2", Second_.port()}}, {}, 1) {
    Front_.changePreset(
        [](model::Preset &Preset) { Preset.Servers_.MaxConnections_ = 1; });
    Front_.markLeaving({"cat-2"});
  }

  FrontEnd &front() { return Front_; }
  const ScriptedServer &first() const { return First_; }
  void letFirstAnswer() { Answering_.open(); }

  /// Has a call take the only connection to the first server.
  void occupyFirst(RawCaller &Caller) {
    Caller.send(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(eventually([&] { return First_.requests().size() == 1; }));
  }

  /// Sends a call that is placed on the first server and then waits for the
  /// connection.
  void sendWaiting(RawCaller &Caller, const std::string &Bytes) {
    Caller.send(Bytes);
    CPPUNIT_ASSERT(
        eventually([&] { return Front_.traffic().stats().Attempts_ == 2; }));
  }

  void assertFirstGotOneCall() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), First_.requests().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Front_.traffic().stats().Withdrawn_);
  }

private:
  Gate Answering_;
  ScriptedServer First_;
  ScriptedServer Second_;
  FrontEnd Front_;
};

/// Guards against a call that reaches a server that left, or by a configuration
/// that was replaced, while the call waited for a connection.
class CallThatWaitedForAConnection : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallThatWaitedForAConnection);
  CPPUNIT_TEST(isNotSentToAServerThatLeftMeanwhile);
  CPPUNIT_TEST(isPlacedAgainWhileTheConnectionIsStillInUse);
  CPPUNIT_TEST(isPlacedAgainWithItsUpload);
  CPPUNIT_TEST(isPlacedAgainWithoutAttemptsOrBudgetLeft);
  CPPUNIT_TEST(isNotSentByAnOlderViewThanThePublishedOne);
  CPPUNIT_TEST(isRefusedWhenItsRouteWasDropped);
  CPPUNIT_TEST(goesToTheServiceThatItsRouteHasNow);
  CPPUNIT_TEST_SUITE_END();

public:
  void isNotSentToAServerThatLeftMeanwhile() {
    TwoServers Servers;
    RawCaller Before(Servers.front().port());
    Servers.occupyFirst(Before);
    RawCaller Waiting(Servers.front().port());
    Servers.sendWaiting(Waiting, request("POST", "/licence", "", "y"));
    Servers.front().markLeaving({"cat-1"});
    Servers.letFirstAnswer();
    CPPUNIT_ASSERT_EQUAL(std::string("first"), Before.read().Body_);
    CPPUNIT_ASSERT_EQUAL(std::string("second y"), Waiting.read().Body_);
    Servers.assertFirstGotOneCall();
  }

  void isPlacedAgainWhileTheConnectionIsStillInUse() {
    TwoServers Servers;
    RawCaller Before(Servers.front().port());
    Servers.occupyFirst(Before);
    RawCaller Waiting(Servers.front().port());
    Servers.sendWaiting(Waiting, request("POST", "/licence", "", "y"));
    Servers.front().markLeaving({"cat-1"});
    CPPUNIT_ASSERT_EQUAL(std::string("second y"), Waiting.read().Body_);
    Servers.letFirstAnswer();
    CPPUNIT_ASSERT_EQUAL(std::string("first"), Before.read().Body_);
    Servers.assertFirstGotOneCall();
  }

  void isPlacedAgainWithItsUpload() {
    TwoServers Servers;
    RawCaller Before(Servers.front().port());
    Servers.occupyFirst(Before);
    const std::string Body(1000000, 'y');
    RawCaller Waiting(Servers.front().port());
    Servers.sendWaiting(Waiting, "POST /bulk HTTP/1.1\r\nHost: cumingauge\r\n"
                                 "Content-Length: 1000000\r\n\r\n" +
                                     Body.substr(0, 100000));
    Servers.front().markLeaving({"cat-1"});
    Servers.letFirstAnswer();
    Waiting.send(Body.substr(100000));
    CPPUNIT_ASSERT(Waiting.read().Body_ == "second " + Body);
    Servers.assertFirstGotOneCall();
  }

  void isPlacedAgainWithoutAttemptsOrBudgetLeft() {
    TwoServers Servers;
    Servers.front().changePreset([](model::Preset &Preset) {
      Preset.Retry_.MaxAttempts_ = 1;
      Preset.Retry_.Ratio_ = 0;
    });
    RawCaller Before(Servers.front().port());
    Servers.occupyFirst(Before);
    RawCaller Waiting(Servers.front().port());
    Servers.sendWaiting(Waiting, request("POST", "/licence", "", "y"));
    Servers.front().markLeaving({"cat-1"});
    CPPUNIT_ASSERT_EQUAL(std::string("second y"), Waiting.read().Body_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         Servers.front().traffic().stats().Retries_);
    Servers.letFirstAnswer();
  }

  void isNotSentByAnOlderViewThanThePublishedOne() {
    TwoServers Servers;
    Servers.letFirstAnswer();
    RawCaller Caller(Servers.front().port());
    CPPUNIT_ASSERT_EQUAL(
        std::string("first"),
        Caller.call(request("POST", "/licence", "", "x")).Body_);
    Gate Placing;
    Servers.front().holdThread(Placing);
    Caller.send(request("POST", "/licence", "", "y"));
    CPPUNIT_ASSERT(eventually([&] { return Servers.front().isThreadHeld(); }));
    Servers.front().markLeaving({"cat-1"});
    Placing.open();
    CPPUNIT_ASSERT_EQUAL(std::string("second y"), Caller.read().Body_);
    Servers.assertFirstGotOneCall();
  }

  void isRefusedWhenItsRouteWasDropped() {
    TwoServers Servers;
    RawCaller Before(Servers.front().port());
    Servers.occupyFirst(Before);
    RawCaller Waiting(Servers.front().port());
    Servers.sendWaiting(Waiting, request("GET", "/search"));
    Servers.front().changePreset([](model::Preset &Preset) {
      Preset.Routes_.erase(Preset.Routes_.begin());
    });
    Servers.letFirstAnswer();
    CPPUNIT_ASSERT_EQUAL(404U, Waiting.read().Status_);
    Servers.assertFirstGotOneCall();
  }

  void goesToTheServiceThatItsRouteHasNow() {
    TwoServers Servers;
    RawCaller Before(Servers.front().port());
    Servers.occupyFirst(Before);
    RawCaller Waiting(Servers.front().port());
    Servers.sendWaiting(Waiting, request("GET", "/search"));
    Servers.front().changePreset([](model::Preset &Preset) {
      Preset.Routes_.front().Service_ = "archive";
    });
    Servers.letFirstAnswer();
    CPPUNIT_ASSERT_EQUAL(std::string("100 NotRunNoServer"),
                         Waiting.read().ResultCode_);
    Servers.assertFirstGotOneCall();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallThatWaitedForAConnection);

} // namespace
