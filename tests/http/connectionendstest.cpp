#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>

using namespace cumingauge;
using namespace cumingauge::test;
using traffic::ConnectionEnd;

namespace {

/// What is counted when connections of callers end.
class EndsOfConnections : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndsOfConnections);
  CPPUNIT_TEST(thatTheProcessDecidesAreCountedByReason);
  CPPUNIT_TEST(thatAnAnswerAnnouncesAreCountedOnceAlthoughTheCallerClosesToo);
  CPPUNIT_TEST(thatCallersCauseAreNotTakenForOurs);
  CPPUNIT_TEST(forLackOfDescriptorsAreNotTakenForIdleOnes);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against connections that end without a trace of the cause.
  void thatTheProcessDecidesAreCountedByReason() {
    ScriptedServer Server([](const auto &Seen) {
      const bool Breaks = Seen.Head_.find("/bulk") != std::string::npos;
      const std::string Whole = ScriptedServer::answer(std::string(9000, 'b'));
      return Breaks ? Whole.substr(0, Whole.size() - 1) : Whole;
    });
    adapters::HttpLimits Limits;
    Limits.IdleTimeout_ = model::milliseconds(300);
    Limits.DrainAcceptTime_ = model::milliseconds(10000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    RawCaller Idle(Front.port());
    CPPUNIT_ASSERT(Idle.read().Closed_);
    expect(Front, ConnectionEnd::IdleTimeout, 1);
    RawCaller Cut(Front.port());
    CPPUNIT_ASSERT(
        !Cut.call(request("GET", "/bulk", "X-Deadline-Ms: 500\r\n")).Whole_);
    expect(Front, ConnectionEnd::AnswerBroken, 1);
    Front.traffic().setLimits({});
    RawCaller Last(Front.port());
    CPPUNIT_ASSERT_EQUAL(200U, Last.call(request("GET", "/search")).Status_);
    std::atomic<bool> Ended{false};
    Front.traffic().drain([&] { Ended = true; });
    CPPUNIT_ASSERT(Last.read().Closed_);
    expect(Front, ConnectionEnd::Stopping, 1);
    Last.disconnect();
    CPPUNIT_ASSERT(eventually([&] { return Ended.load(); }));
    RawCaller Late(Front.port());
    CPPUNIT_ASSERT_EQUAL(std::string("105 NotRunStopping"),
                         Late.read().ResultCode_);
    expect(Front, ConnectionEnd::Refused, 1);
  }

  /// Guards against a second count when the closed connection is taken down.
  void thatAnAnswerAnnouncesAreCountedOnceAlthoughTheCallerClosesToo() {
    ScriptedServer Server(
        [](const auto &) { return ScriptedServer::answer("found"); });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Asking(Front.port());
    Asking.call(request("GET", "/search", "Connection: close\r\n"));
    Asking.disconnect();
    RawCaller Malformed(Front.port());
    CPPUNIT_ASSERT_EQUAL(400U, Malformed.call("GET\r\n\r\n").Status_);
    Malformed.disconnect();
    const Ends Expected = {{ConnectionEnd::Announced, 1},
                           {ConnectionEnd::Refused, 1}};
    CPPUNIT_ASSERT(eventually(
        [&] { return Front.traffic().stats().ConnectionEnds_ == Expected; }));
    CPPUNIT_ASSERT(eventually(
        [&] { return Front.traffic().stats().CallerConnections_ == 0; }));
    CPPUNIT_ASSERT(Front.traffic().stats().ConnectionEnds_ == Expected);
  }

  /// Guards against callers' own closes in the counts of ours.
  void thatCallersCauseAreNotTakenForOurs() {
    ScriptedServer Server(
        [](const auto &) { return ScriptedServer::answer("found"); });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    Caller.call(request("GET", "/search"));
    Caller.disconnect();
    expect(Front, ConnectionEnd::CallerClosed, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Front.traffic().stats().ConnectionEnds_.size());
  }

  /// Guards against evictions that look like idle timeouts.
  void forLackOfDescriptorsAreNotTakenForIdleOnes() {
    adapters::HttpLimits Few;
    Few.Descriptors_ = 64;
    FrontEnd Front({}, Few, 1);
    std::deque<RawCaller> Crowd;
    for (int I = 0; I < 40; ++I)
      Crowd.emplace_back(Front.port());
    CPPUNIT_ASSERT(Crowd.front().read().Closed_);
    CPPUNIT_ASSERT(count(Front, ConnectionEnd::Descriptors) > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         count(Front, ConnectionEnd::IdleTimeout));
  }

private:
  using Ends = std::map<ConnectionEnd, std::uint64_t>;

  static std::uint64_t count(FrontEnd &Front, ConnectionEnd End) {
    return Front.traffic().stats().ConnectionEnds_[End];
  }

  static void expect(FrontEnd &Front, ConnectionEnd End, std::uint64_t Count) {
    CPPUNIT_ASSERT(eventually([&] { return count(Front, End) == Count; }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndsOfConnections);

} // namespace
