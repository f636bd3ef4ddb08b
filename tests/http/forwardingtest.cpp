#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

class ForwardingACall : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingACall);
  CPPUNIT_TEST(forwardsTheWholeAnswerWithItsResultCode);
  CPPUNIT_TEST(reusesTheConnectionsOfBothSides);
  CPPUNIT_TEST(losesNothingThatTheCallerReadsAfterTheClose);
  CPPUNIT_TEST_SUITE_END();

public:
  void forwardsTheWholeAnswerWithItsResultCode() {
    ScriptedServer Server([](const ScriptedServer::Request &Request) {
      return ScriptedServer::answer("for " + Request.Body_, "X-Own: 1\r\n");
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    const auto Answer =
        Caller.call(request("POST", "/licence/7", "", "track 7"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
    CPPUNIT_ASSERT_EQUAL(std::string("for track 7"), Answer.Body_);
    CPPUNIT_ASSERT_EQUAL(std::string("0 Ok"), Answer.ResultCode_);
    CPPUNIT_ASSERT(Answer.Head_.find("X-Own: 1") != std::string::npos);
  }

  void reusesTheConnectionsOfBothSides() {
    ScriptedServer Server([](const ScriptedServer::Request &Request) {
      return ScriptedServer::answer(std::to_string(Request.Number_));
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    for (unsigned I = 1; I <= 20; ++I) {
      const auto Answer = Caller.call(request("GET", "/search?q=1"));
      CPPUNIT_ASSERT_EQUAL(std::to_string(I), Answer.Body_);
    }
    CPPUNIT_ASSERT_EQUAL(1U, Server.connections());
  }

  void losesNothingThatTheCallerReadsAfterTheClose() {
    const std::string Long(1048576, 'b');
    ScriptedServer Server([&](const ScriptedServer::Request &) {
      return ScriptedServer::answer(Long);
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    const auto CountConnections = [&] {
      return Front.traffic().stats().CallerConnections_;
    };
    RawCaller Caller(Front.port());
    CPPUNIT_ASSERT(eventually([&] { return CountConnections() == 1; }));
    Caller.send(request("GET", "/search", "Connection: close\r\n"));
    CPPUNIT_ASSERT(eventually([&] { return CountConnections() == 0; }));
    const auto Answer = Caller.read();
    CPPUNIT_ASSERT(Answer.Whole_);
    CPPUNIT_ASSERT(Long == Answer.Body_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingACall);

} // namespace
