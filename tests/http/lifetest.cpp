#include "http/frontend.h"
#include "http/gate.h"
#include "http/scriptedserver.h"
#include "model/resultcode.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

using Request = ScriptedServer::Request;

class ConnectionsAndServers : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionsAndServers);
  CPPUNIT_TEST(aClosedIdleConnectionIsNotReused);
  CPPUNIT_TEST(aDuplicateAnswerReachesNoOtherCall);
  CPPUNIT_TEST(anAnswerForAnotherCallIsNotPassedOn);
  CPPUNIT_TEST(aCallerThatDisconnectsCancelsItsCall);
  CPPUNIT_TEST(aLeavingServerFinishesItsCallAndGetsNoNewOne);
  CPPUNIT_TEST(connectionsAboveTheLimitAreRefusedAsNotRun);
  CPPUNIT_TEST(stoppingWaitsForCallsInFlight);
  CPPUNIT_TEST(stoppingAcceptsNewConnectionsDuringTheAcceptTime);
  CPPUNIT_TEST(aRequestThatCrossesTheCloseEndsTheConnectionAtOnce);
  CPPUNIT_TEST(stoppingGivesUpAtTheDrainTimeout);
  CPPUNIT_TEST(warmConnectionsAreOpenedBeforeTheFirstCall);
  CPPUNIT_TEST(callsBeforeTheFirstViewWaitForIt);
  CPPUNIT_TEST(callsWithoutAFirstViewAreRefusedAsNotRun);
  CPPUNIT_TEST(viewsAndReportsAreAppliedWhileCallsRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void aClosedIdleConnectionIsNotReused() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("issued"); });
    Server.closeAfterAnswer();
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    for (unsigned I = 1; I <= 30; ++I) {
      CPPUNIT_ASSERT_EQUAL(
          std::string("issued"),
          Caller.call(request("POST", "/licence", "", "x")).Body_);
      CPPUNIT_ASSERT(eventually([&] { return Server.closed() == I; }));
    }
  }

  void aDuplicateAnswerReachesNoOtherCall() {
    ScriptedServer Server([](const Request &Seen) {
      const std::string Answer = ScriptedServer::answer("for " + Seen.Body_);
      return Answer + Answer;
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    for (int I = 0; I < 30; ++I) {
      const std::string Own = std::to_string(I);
      CPPUNIT_ASSERT_EQUAL(
          "for " + Own,
          Caller.call(request("POST", "/licence", "", Own)).Body_);
    }
  }

  void anAnswerForAnotherCallIsNotPassedOn() {
    ScriptedServer Server([](const Request &) {
      return ScriptedServer::answer("foreign", "X-Call-Id: another\r\n");
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    const auto Answer =
        RawCaller(Front.port()).call(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT_EQUAL(502U, Answer.Status_);
    CPPUNIT_ASSERT(Answer.Body_.find("foreign") == std::string::npos);
  }

  void aCallerThatDisconnectsCancelsItsCall() {
    Gate Answering;
    ScriptedServer Server([&](const Request &) {
      Answering.pass();
      return ScriptedServer::answer("late");
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    Caller.send(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 1; }));
    Caller.disconnect();
    CPPUNIT_ASSERT(eventually([&] {
      const auto Stats = Front.traffic().stats();
      return Stats.InFlight_ == 0 && Stats.BackendConnections_ == 0;
    }));
    const auto Stats = Front.traffic().stats();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(1),
        Stats.Routes_.at("licence").Calls_.at(model::ResultCode::CallerGone));
    Answering.open();
  }

  void aLeavingServerFinishesItsCallAndGetsNoNewOne() {
    Gate Answering;
    ScriptedServer Leaving([&](const Request &) {
      Answering.pass();
      return ScriptedServer::answer("whole");
    });
    ScriptedServer Staying(
        [](const Request &) { return ScriptedServer::answer("other"); });
    FrontEnd Front({{"cat-1", Leaving.port()}, {"cat-2", Staying.port()}}, {},
                   /*Threads=*/1);
    Front.markLeaving({"cat-2"});
    RawCaller Held(Front.port());
    Held.send(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(eventually([&] { return Leaving.requests().size() == 1; }));
    Front.markLeaving({"cat-1"});
    RawCaller Caller(Front.port());
    for (int I = 0; I < 20; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("other"),
                           Caller.call(request("GET", "/search")).Body_);
    CPPUNIT_ASSERT(!hasEnded(Front, 2));
    Answering.open();
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Held.read().Body_);
    CPPUNIT_ASSERT(eventually([&] { return hasEnded(Front, 2); }));
    CPPUNIT_ASSERT(eventually([&] { return Leaving.ended() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Leaving.requests().size());
  }

  void connectionsAboveTheLimitAreRefusedAsNotRun() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("found"); });
    adapters::HttpLimits Limits;
    Limits.MaxCallerConnections_ = 2;
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    RawCaller First(Front.port());
    RawCaller Second(Front.port());
    First.call(request("GET", "/search"));
    Second.call(request("GET", "/search"));
    const auto Answer = RawCaller(Front.port()).read();
    CPPUNIT_ASSERT_EQUAL(std::string("106 NotRunTooManyConnections"),
                         Answer.ResultCode_);
    CPPUNIT_ASSERT_EQUAL(std::string("found"),
                         First.call(request("GET", "/search")).Body_);
  }

  void stoppingWaitsForCallsInFlight() {
    Gate Answering;
    ScriptedServer Server([&](const Request &) {
      Answering.pass();
      return ScriptedServer::answer("whole");
    });
    adapters::HttpLimits Limits;
    Limits.DrainIdleTime_ = model::milliseconds(1);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    RawCaller Idle(Front.port());
    RawCaller Held(Front.port());
    Held.send(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 1; }));
    std::atomic<bool> Drained{false};
    Front.traffic().drain([&] { Drained = true; });
    CPPUNIT_ASSERT(Idle.read().Closed_);
    CPPUNIT_ASSERT(!Drained);
    Answering.open();
    const auto Answer = Held.read();
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Answer.Body_);
    CPPUNIT_ASSERT(Answer.Head_.find("Connection: close") != std::string::npos);
    Held.disconnect();
    CPPUNIT_ASSERT(eventually([&] { return Drained.load(); }));
  }

  void stoppingAcceptsNewConnectionsDuringTheAcceptTime() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("found"); });
    adapters::HttpLimits Limits;
    Limits.DrainAcceptTime_ = model::milliseconds(5000);
    Limits.DrainIdleTime_ = model::milliseconds(20000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    std::atomic<bool> Drained{false};
    Front.traffic().drain([&] { Drained = true; });
    // The first connection may have been accepted before the drain began.
    RawCaller(Front.port()).call(request("GET", "/search"));
    const auto Answer = RawCaller(Front.port()).call(request("GET", "/search"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
    CPPUNIT_ASSERT(Answer.Head_.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(!Drained);
    CPPUNIT_ASSERT(eventually([&] { return Drained.load(); }));
  }

  /// The caller sends a request before it has seen that the connection closes.
  void aRequestThatCrossesTheCloseEndsTheConnectionAtOnce() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("found"); });
    adapters::HttpLimits Limits;
    Limits.DrainIdleTime_ = model::milliseconds(0);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    RawCaller Idle(Front.port());
    Idle.call(request("GET", "/search"));
    Front.traffic().drain([] {});
    CPPUNIT_ASSERT(Idle.read().Closed_); // the caller's side stays open
    const auto Before = std::chrono::steady_clock::now();
    Idle.send(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(eventually([&] { return Idle.isReset(); }));
    // The connection would otherwise linger for a second.
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Before <
                   std::chrono::milliseconds(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Server.requests().size());
  }

  void stoppingGivesUpAtTheDrainTimeout() {
    Gate Answering;
    ScriptedServer Server([&](const Request &) {
      Answering.pass();
      return ScriptedServer::answer("late");
    });
    adapters::HttpLimits Limits;
    Limits.DrainTimeout_ = model::milliseconds(50);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    RawCaller Held(Front.port());
    Held.send(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 1; }));
    std::atomic<bool> Drained{false};
    Front.traffic().drain([&] { Drained = true; });
    CPPUNIT_ASSERT(eventually([&] { return Drained.load(); }));
    Answering.open();
  }

  void warmConnectionsAreOpenedBeforeTheFirstCall() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("found"); });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, /*Threads=*/1);
    Front.changePreset(
        [](model::Preset &Preset) { Preset.Servers_.WarmConnections_ = 3; });
    CPPUNIT_ASSERT(eventually([&] { return Server.connections() == 3; }));
    RawCaller(Front.port()).call(request("GET", "/search"));
    CPPUNIT_ASSERT_EQUAL(3U, Server.connections());
  }

  /// Exercises the hand-over from the control thread to the traffic threads, so
  /// that the thread sanitizer finds data races in it.
  /// As when the whole fleet starts at once: a refusal would use up the one
  /// retry of a caller.
  void callsBeforeTheFirstViewWaitForIt() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("issued"); });
    adapters::HttpLimits Limits;
    Limits.FreshWait_ = model::milliseconds(60000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 2,
                   adapters::nativeDialect(), /*HasView=*/false);
    std::vector<std::unique_ptr<RawCaller>> Callers;
    for (int I = 0; I < 20; ++I) {
      Callers.push_back(std::make_unique<RawCaller>(Front.port()));
      Callers.back()->send(request("POST", "/licence", "", "x"));
    }
    Front.publish();
    for (const auto &Caller : Callers)
      CPPUNIT_ASSERT_EQUAL(std::string("issued"), Caller->read().Body_);
  }

  void callsWithoutAFirstViewAreRefusedAsNotRun() {
    adapters::HttpLimits Limits;
    Limits.FreshWait_ = model::milliseconds(50);
    FrontEnd Front({}, Limits, 2, adapters::nativeDialect(),
                   /*HasView=*/false);
    RawCaller Caller(Front.port());
    const auto Answer = Caller.call(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT_EQUAL(503u, Answer.Status_);
    CPPUNIT_ASSERT_EQUAL(std::string("107 NotRunControlStale"),
                         Answer.ResultCode_);
  }

  void viewsAndReportsAreAppliedWhileCallsRun() {
    ScriptedServer One(
        [](const Request &) { return ScriptedServer::answer("found"); });
    ScriptedServer Two(
        [](const Request &) { return ScriptedServer::answer("found"); });
    FrontEnd Front({{"cat-1", One.port()}, {"cat-2", Two.port()}}, {},
                   /*Threads=*/3);
    std::atomic<bool> Done{false};
    std::thread Control([&] {
      for (unsigned I = 0; !Done; ++I) {
        Front.markLeaving(I % 2 == 0 ? std::set<std::string>{"cat-1"}
                                     : std::set<std::string>{"cat-2"});
        Front.traffic().applyObservations({{"cat-1", "vm-cat-1", {}}});
        Front.traffic().activity();
        Front.traffic().stats();
        std::this_thread::sleep_for(model::milliseconds(1));
      }
    });
    std::atomic<unsigned> Found{0};
    std::vector<std::thread> Callers;
    for (int I = 0; I < 3; ++I)
      Callers.emplace_back([&] {
        RawCaller Caller(Front.port());
        for (int Call = 0; Call < 200; ++Call)
          Found += Caller.call(request("GET", "/search")).Body_ == "found";
      });
    for (std::thread &Thread : Callers)
      Thread.join();
    Done = true;
    Control.join();
    CPPUNIT_ASSERT_EQUAL(600U, Found.load());
  }

private:
  /// Returns whether at least Count events report that a leaving server has no
  /// call left.
  static bool hasEnded(const FrontEnd &Front, std::ptrdiff_t Count) {
    const auto Events = Front.events();
    return std::count(Events.begin(), Events.end(),
                      model::EventKind::ServerLastCallEnded) >= Count;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionsAndServers);

} // namespace
