#include "adapters/httprequestreader.h"
#include "http/frontend.h"
#include "http/scriptedserver.h"
#include "platform/dialect.h"
#include "support/piecewisereader.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::test;
using Request = ScriptedServer::Request;

namespace {

const std::string Id = "Attempt-Id: a1\r\n";
const std::string Stale = "107 NotRunControlStale";

/// Guards against answers that tell a caller that its proper request is wrong
/// although this process cannot know that.
class ProperRequest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProperRequest);
  CPPUNIT_TEST(isNotDeniedByAConfigurationThatMayBeOld);
  CPPUNIT_TEST(isNotDeniedByAConfigurationThatIsNotYetReplaced);
  CPPUNIT_TEST(isNotCalledTooLongByLimitsThatMayBeOld);
  CPPUNIT_TEST(isDeniedByTheNewestConfiguration);
  CPPUNIT_TEST_SUITE_END();

  ScriptedServer Server_{[](const Request &) {
    return ScriptedServer::answer("done", Id + "Response-Signature: s1\r\n");
  }};

  std::unique_ptr<FrontEnd> start() {
    return std::make_unique<FrontEnd>(
        std::vector<FrontEnd::Target>{{"cat-1", Server_.port()}},
        adapters::HttpLimits{}, 1, platform::platformDialect());
  }

  static void assertAnswered(const std::string &ResultCode, FrontEnd &Front,
                             const std::string &Bytes) {
    CPPUNIT_ASSERT_EQUAL(ResultCode,
                         RawCaller(Front.port()).call(Bytes).ResultCode_);
  }

public:
  void isNotDeniedByAConfigurationThatMayBeOld() {
    const auto Front = start();
    Front->setConfigurationKnown(false);
    assertAnswered(Stale, *Front, request("GET", "/added/7", Id));
    assertAnswered(Stale, *Front, request("POST", "/added/7", Id, "x"));
    assertAnswered("0 Ok", *Front, request("GET", "/search/7", Id));
    RawCaller Pipelining(Front->port());
    Pipelining.send(request("GET", "/search/7", Id) +
                    request("GET", "/added/7", Id));
    CPPUNIT_ASSERT_EQUAL(200U, Pipelining.read().Status_);
    CPPUNIT_ASSERT_EQUAL(Stale, Pipelining.read().ResultCode_);
  }

  /// The traffic thread gets a view only when the control thread has done all
  /// that follows from it.
  void isNotDeniedByAConfigurationThatIsNotYetReplaced() {
    const auto Front = start();
    Front->acceptNextVersion();
    assertAnswered(Stale, *Front, request("GET", "/added/7", Id));
    Front->publish();
    assertAnswered("154 RequestNoRoute", *Front,
                   request("GET", "/added/7", Id));
  }

  void isNotCalledTooLongByLimitsThatMayBeOld() {
    const auto Front = start();
    Front->changePreset([](model::Preset &Preset) {
      Preset.Callers_.HeaderBytes_ = 1000;
      for (model::Route &Each : Preset.Routes_)
        Each.MaxBodyBytes_ = 10;
    });
    Front->setConfigurationKnown(false);
    const std::string Body(11, 'x');
    assertAnswered(Stale, *Front, request("POST", "/licence/7", Id, Body));
    assertAnswered(
        Stale, *Front,
        request("POST", "/licence/7", Id + "Transfer-Encoding: chunked\r\n") +
            "b\r\n" + Body + "\r\n0\r\n\r\n");
    assertAnswered(Stale, *Front,
                   request("GET", "/search/7",
                           Id + "X-A: " + std::string(1000, 'a') + "\r\n"));
    CPPUNIT_ASSERT(Server_.requests().empty());
  }

  void isDeniedByTheNewestConfiguration() {
    const auto Front = start();
    assertAnswered("154 RequestNoRoute", *Front,
                   request("GET", "/removed/7", Id));
    const std::string Long = "X-A: " + std::string(40000, 'a') + "\r\n";
    assertAnswered("151 RequestHeadersTooLarge", *Front,
                   request("GET", "/search/7", Id + Long));
    assertAnswered(
        "152 RequestBodyTooLarge", *Front,
        request("POST", "/licence/7", Id + "Content-Length: 99999999\r\n"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ProperRequest);

} // namespace
