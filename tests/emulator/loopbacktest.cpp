#include "emulator/backendhost.h"
#include "emulator/httpcall.h"
#include "emulator/storeservice.h"
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::emulator;

namespace {

/// Runs an io_context on its own thread until stop() is called.
class ContextThread {
public:
  void run() {
    Thread_ = std::thread([this] { Context_.run(); });
  }
  void stop(const std::function<void()> &Stop) {
    boost::asio::post(Context_, Stop);
    Thread_.join();
  }

  boost::asio::io_context Context_{1};

private:
  std::thread Thread_;
};

std::optional<HttpReply> call(std::uint16_t Port, const std::string &Method,
                              const std::string &Target,
                              const std::string &Body = "") {
  HttpCall Call;
  Call.Port_ = Port;
  Call.Method_ = Method;
  Call.Target_ = Target;
  Call.Body_ = Body;
  return callHttp(Call);
}

std::string bodyOf(const std::optional<HttpReply> &Reply) {
  return Reply ? Reply->Body_ : "no answer";
}

unsigned statusOf(const std::optional<HttpReply> &Reply) {
  return Reply ? Reply->Status_ : 0;
}

class AStoreOverHttp : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AStoreOverHttp);
  CPPUNIT_TEST(answersAWatchWhenItsKeyIsCreated);
  CPPUNIT_TEST(endsAWatchAtItsTimeout);
  CPPUNIT_TEST(appliesAWriteWhoseAnswerIsDropped);
  CPPUNIT_TEST(appliesADroppedWriteAfterADelay);
  CPPUNIT_TEST(ignoresRequestsWhileDown);
  CPPUNIT_TEST(cutsItsWatchesWhenItComesBackFromACopy);
  CPPUNIT_TEST(refusesToComeBackWithoutACopy);
  CPPUNIT_TEST(refusesOversizedValuesAndLimitsTheWriteRate);
  CPPUNIT_TEST(countsEveryCall);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    StoreSettings Settings;
    Settings.WritesPerSecond_ = 10;
    Settings.MaxValueBytes_ = 1000;
    Service_ =
        std::make_unique<StoreService>(ContextThread_.Context_, Settings);
    Port_ = Service_->start();
    ContextThread_.run();
  }

  void tearDown() override {
    ContextThread_.stop([this] { Service_->stop(); });
  }

  void answersAWatchWhenItsKeyIsCreated() {
    auto Watch = std::async(std::launch::async, [this] {
      return call(Port_, "GET", "/v1/kv/changes/1?index=1&wait=60s");
    });
    while (counters()["waiting"] != 1)
      std::this_thread::yield();
    call(Port_, "PUT", "/v1/kv/changes/1?cas=0", "hello");
    const codec::Json List = codec::Json::parse(bodyOf(Watch.get()));
    CPPUNIT_ASSERT_EQUAL(std::string("aGVsbG8="),
                         List[0]["Value"].get<std::string>());
    CPPUNIT_ASSERT(List[0]["CreateIndex"] == List[0]["ModifyIndex"]);
  }

  void endsAWatchAtItsTimeout() {
    CPPUNIT_ASSERT_EQUAL(
        404u, statusOf(call(Port_, "GET", "/v1/kv/none?index=1&wait=20ms")));
  }

  void appliesAWriteWhoseAnswerIsDropped() {
    control(R"({"loseAnswers": 1})");
    CPPUNIT_ASSERT(!call(Port_, "PUT", "/v1/kv/k?cas=0", "mine"));
    CPPUNIT_ASSERT_EQUAL(std::string("false"),
                         bodyOf(call(Port_, "PUT", "/v1/kv/k?cas=0", "mine")));
  }

  void appliesADroppedWriteAfterADelay() {
    control(R"({"landLate": 1, "landLateByMs": 200})");
    CPPUNIT_ASSERT(!call(Port_, "PUT", "/v1/kv/k?cas=0", "late"));
    CPPUNIT_ASSERT_EQUAL(404u, statusOf(call(Port_, "GET", "/v1/kv/k")));
    CPPUNIT_ASSERT_EQUAL(
        200u, statusOf(call(Port_, "GET", "/v1/kv/k?index=1&wait=60s")));
  }

  void ignoresRequestsWhileDown() {
    control(R"({"down": true})");
    CPPUNIT_ASSERT(!call(Port_, "PUT", "/v1/kv/k?cas=0", "x"));
    control(R"({"down": false})");
    CPPUNIT_ASSERT_EQUAL(404u, statusOf(call(Port_, "GET", "/v1/kv/k")));
  }

  void cutsItsWatchesWhenItComesBackFromACopy() {
    call(Port_, "PUT", "/v1/kv/k", "old");
    CPPUNIT_ASSERT_EQUAL(200u, statusOf(call(Port_, "POST", "/control/copy")));
    const int Index = counters()["index"].get<int>();
    call(Port_, "PUT", "/v1/kv/k", "new");
    auto Watch = std::async(std::launch::async, [this] {
      return call(Port_, "GET", "/v1/kv/none?index=1&wait=60s");
    });
    while (counters()["waiting"] != 1)
      std::this_thread::yield();
    CPPUNIT_ASSERT_EQUAL(200u,
                         statusOf(call(Port_, "POST", "/control/restore")));
    CPPUNIT_ASSERT(!Watch.get());
    CPPUNIT_ASSERT_EQUAL(Index, counters()["index"].get<int>());
    const codec::Json List =
        codec::Json::parse(bodyOf(call(Port_, "GET", "/v1/kv/k")));
    CPPUNIT_ASSERT_EQUAL(std::string("b2xk"), // "old"
                         List[0]["Value"].get<std::string>());
  }

  void refusesToComeBackWithoutACopy() {
    CPPUNIT_ASSERT_EQUAL(409u,
                         statusOf(call(Port_, "POST", "/control/restore")));
  }

  void refusesOversizedValuesAndLimitsTheWriteRate() {
    CPPUNIT_ASSERT_EQUAL(
        200u, statusOf(call(Port_, "PUT", "/v1/kv/k", std::string(1000, 'x'))));
    CPPUNIT_ASSERT_EQUAL(
        413u, statusOf(call(Port_, "PUT", "/v1/kv/k", std::string(1001, 'x'))));
    unsigned Limited = 0;
    for (int I = 0; I < 40 && Limited == 0; ++I)
      Limited += statusOf(call(Port_, "PUT", "/v1/kv/k", "y")) == 429;
    CPPUNIT_ASSERT_EQUAL(1u, Limited);
  }

  void countsEveryCall() {
    call(Port_, "GET", "/v1/kv/a");
    call(Port_, "GET", "/v1/kv/a?index=1&wait=1ms");
    call(Port_, "GET", "/v1/catalog/nodes");
    call(Port_, "PUT", "/v1/kv/a", "x");
    const codec::Json Counted = counters();
    CPPUNIT_ASSERT_EQUAL(3, Counted["reads"].get<int>());
    CPPUNIT_ASSERT_EQUAL(1, Counted["watches"].get<int>());
    CPPUNIT_ASSERT_EQUAL(1, Counted["writes"].get<int>());
  }

private:
  void control(const std::string &Body) {
    CPPUNIT_ASSERT_EQUAL(200u, statusOf(call(Port_, "POST", "/control", Body)));
  }

  codec::Json counters() {
    return codec::Json::parse(bodyOf(call(Port_, "GET", "/control/counters")));
  }

  ContextThread ContextThread_;
  std::unique_ptr<StoreService> Service_;
  std::uint16_t Port_ = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(AStoreOverHttp);

class ABackendServerOverHttp : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ABackendServerOverHttp);
  CPPUNIT_TEST(answersAndRecordsTheRun);
  CPPUNIT_TEST(recordsNoRunOfARefusedCall);
  CPPUNIT_TEST(truncatesAnAnswerDetectably);
  CPPUNIT_TEST(holdsCallsWhileFrozenAndAnswersThemAfterwards);
  CPPUNIT_TEST(recordsCallsCutOffByAGracefulStop);
  CPPUNIT_TEST(keepsPortAndJournalAcrossARestart);
  CPPUNIT_TEST(refusesUnknownControlKeys);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    BackendSettings Settings;
    Settings.Behaviour_.ConnectionCost_ = model::microseconds(0);
    Settings.Servers_.resize(2);
    Settings.Servers_[0].Name_ = "a";
    Settings.Servers_[1].Name_ = "b";
    Host_ = std::make_unique<BackendHost>(ContextThread_.Context_, Settings);
    Admin_ = Host_->start();
    ContextThread_.run();
    Port_ =
        codec::Json::parse(bodyOf(call(Admin_, "GET", "/servers")))[0]["port"]
            .get<std::uint16_t>();
  }

  void tearDown() override {
    ContextThread_.stop([this] { Host_->stop(); });
  }

  void answersAndRecordsTheRun() {
    const auto Reply = call(Port_, "GET", "/x?bytes=70000&serviceUs=10");
    CPPUNIT_ASSERT_EQUAL(std::size_t(70000), bodyOf(Reply).size());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), lastRun());
  }

  void recordsNoRunOfARefusedCall() {
    control(R"({"draining": true})");
    CPPUNIT_ASSERT_EQUAL(503u, statusOf(call(Port_, "GET", "/x")));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), lastRun());
  }

  void truncatesAnAnswerDetectably() {
    control(R"({"cutShare": 1})");
    CPPUNIT_ASSERT(!call(Port_, "GET", "/x?bytes=1000&serviceUs=10"));
    CPPUNIT_ASSERT_EQUAL(std::string("cutShort"), lastRun());
  }

  void holdsCallsWhileFrozenAndAnswersThemAfterwards() {
    control(R"({"frozen": true})");
    auto PendingReply = std::async(std::launch::async, [this] {
      return call(Port_, "GET", "/x?serviceUs=10");
    });
    while (counters()["connections"] != 1)
      std::this_thread::yield();
    CPPUNIT_ASSERT_EQUAL(std::string("none"), lastRun());
    control(R"({"frozen": false})");
    CPPUNIT_ASSERT_EQUAL(200u, statusOf(PendingReply.get()));
  }

  void recordsCallsCutOffByAGracefulStop() {
    auto PendingReply = std::async(std::launch::async, [this] {
      return call(Port_, "GET", "/x?serviceUs=60000000");
    });
    while (counters()["running"] != 1)
      std::this_thread::yield();
    call(Admin_, "POST", "/servers/a/stop?mode=graceful");
    CPPUNIT_ASSERT(!PendingReply.get());
    CPPUNIT_ASSERT_EQUAL(std::string("cutOff"), lastRun());
  }

  void keepsPortAndJournalAcrossARestart() {
    call(Port_, "GET", "/x?serviceUs=10");
    call(Admin_, "POST", "/servers/a/stop?mode=kill");
    CPPUNIT_ASSERT(!call(Port_, "GET", "/x"));
    call(Admin_, "POST", "/servers/a/start");
    call(Port_, "GET", "/x?serviceUs=10");
    CPPUNIT_ASSERT_EQUAL(2, counters()["started"].get<int>());
  }

  void refusesUnknownControlKeys() {
    CPPUNIT_ASSERT_EQUAL(400u,
                         statusOf(call(Admin_, "POST", "/servers/a/control",
                                       R"({"speed": 1})")));
  }

private:
  void control(const std::string &Body) {
    CPPUNIT_ASSERT_EQUAL(
        200u, statusOf(call(Admin_, "POST", "/servers/a/control", Body)));
  }

  codec::Json counters() {
    return codec::Json::parse(bodyOf(call(Admin_, "GET", "/servers")))[0];
  }

  /// Returns how the last call of server "a" ended; "none" when it ran no call.
  std::string lastRun() {
    const std::string Lines = bodyOf(call(Admin_, "GET", "/servers/a/journal"));
    if (Lines.empty())
      return "none";
    const std::size_t Start = Lines.rfind('\n', Lines.size() - 2);
    return codec::Json::parse(
               Lines.substr(Start == std::string::npos ? 0 : Start + 1))["end"]
        .get<std::string>();
  }

  ContextThread ContextThread_;
  std::unique_ptr<BackendHost> Host_;
  std::uint16_t Admin_ = 0;
  std::uint16_t Port_ = 0;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ABackendServerOverHttp);

} // namespace
