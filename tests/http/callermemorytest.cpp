#include "policy/callermemory.h"
#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <sys/resource.h>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

constexpr unsigned SmallMemoryMb = 50;
constexpr std::size_t BodyBytes = 60000;

adapters::HttpLimits smallMemory() {
  adapters::HttpLimits Out;
  Out.MemoryMb_ = SmallMemoryMb;
  return Out;
}

const std::string BulkHead = "POST /bulk HTTP/1.1\r\nHost: cumingauge\r\n"
                             "Content-Length: 200000\r\n\r\n";

/// Lowers the number of descriptors that this process may open while it exists.
class FewDescriptors {
public:
  explicit FewDescriptors(rlim_t Count) {
    getrlimit(RLIMIT_NOFILE, &Before_);
    const rlimit Lowered{Count, Before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &Lowered);
  }
  FewDescriptors(const FewDescriptors &) = delete;
  FewDescriptors &operator=(const FewDescriptors &) = delete;
  ~FewDescriptors() { setrlimit(RLIMIT_NOFILE, &Before_); }

private:
  rlimit Before_{};
};

/// An entry process with little memory, its server and a crowd of callers.
class ManyCallersAtOnce : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManyCallersAtOnce);
  CPPUNIT_TEST(areRefusedTruthfullyWhenTheirBodiesDoNotEnd);
  CPPUNIT_TEST(takeLittleMemoryEach);
  CPPUNIT_TEST(areBoundedWhenTheyReadNoAnswers);
  CPPUNIT_TEST(closeIdleConnectionsWhenDescriptorsRunShort);
  CPPUNIT_TEST(holdNoServersWithUploadsThatStall);
  CPPUNIT_TEST(mayUploadSlowlyButSteadily);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a process that runs out of memory under unfinished bodies.
  void areRefusedTruthfullyWhenTheirBodiesDoNotEnd() {
    ScriptedServer Server(
        [](const auto &) { return ScriptedServer::answer("done"); });
    FrontEnd Front({{"cat-1", Server.port()}}, smallMemory());
    const auto Marks = policy::callerMemoryMarks(SmallMemoryMb);
    std::deque<RawCaller> Crowd;
    for (std::size_t I = 0; I < 2 * Marks.Full_ / BodyBytes; ++I) {
      Crowd.emplace_back(Front.port());
      Crowd.back().send(
          request("POST", "/licence/crowd", "Transfer-Encoding: chunked\r\n") +
          "ea60\r\n" + std::string(BodyBytes, 'z') + "\r\n");
    }
    CPPUNIT_ASSERT(
        eventually([&] { return evicted(Front, "Unfinished") > 0; }));
    CPPUNIT_ASSERT(eventually([&] {
      return Front.traffic().stats().CallerMemoryBytes_ <= Marks.Bound_;
    }));
    CPPUNIT_ASSERT_EQUAL(
        200U, RawCaller(Front.port())
                  .call(request("POST", "/licence/7", "", "ordinary"))
                  .Status_);
    const RawCaller::Answer Refusal = Crowd.front().read();
    CPPUNIT_ASSERT_EQUAL(std::string("112 NotRunMemory"), Refusal.ResultCode_);
    CPPUNIT_ASSERT_EQUAL(503U, Refusal.Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Server.requests().size());
    Crowd.clear();
    CPPUNIT_ASSERT(eventually(
        [&] { return Front.traffic().stats().CallerMemoryBytes_ == 0; }));
  }

  void takeLittleMemoryEach() {
    constexpr std::size_t Callers = 20;
    constexpr std::size_t MaxBytesEach = 85000;
    FrontEnd Front({}, smallMemory());
    std::deque<RawCaller> Crowd;
    for (std::size_t I = 0; I < Callers; ++I) {
      Crowd.emplace_back(Front.port());
      Crowd.back().send(
          request("POST", "/licence/crowd", "Transfer-Encoding: chunked\r\n") +
          "ea60\r\n" + std::string(BodyBytes, 'z') + "\r\n");
    }
    const auto Held = [&] {
      return Front.traffic().stats().CallerMemoryBytes_;
    };
    CPPUNIT_ASSERT(eventually([&] { return Held() >= Callers * BodyBytes; }));
    CPPUNIT_ASSERT(
        eventually([&] { return Held() <= Callers * MaxBytesEach; }));
  }

  void areBoundedWhenTheyReadNoAnswers() {
    ScriptedServer Server([](const auto &) {
      return ScriptedServer::answer(std::string(BodyBytes, 'a'));
    });
    adapters::HttpLimits Limits = smallMemory();
    Limits.KeptAnswerBytes_ = 65536;
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    const auto Marks = policy::callerMemoryMarks(SmallMemoryMb);
    std::string Ahead;
    for (int I = 0; I < 200; ++I)
      Ahead += request("GET", "/search/ahead");
    std::deque<RawCaller> Crowd;
    for (int I = 0; I < 40; ++I) {
      Crowd.emplace_back(Front.port());
      Crowd.back().send(Ahead);
    }
    CPPUNIT_ASSERT(eventually([&] { return Server.answers() > 400; }));
    RawCaller Ordinary(Front.port());
    for (int I = 0; I < 10; ++I)
      CPPUNIT_ASSERT_EQUAL(
          200U, Ordinary.call(request("GET", "/search/ordinary")).Status_);
    CPPUNIT_ASSERT(Front.traffic().stats().CallerMemoryBytes_ <=
                   Marks.Full_ + 10 * BodyBytes);
  }

  void closeIdleConnectionsWhenDescriptorsRunShort() {
    constexpr rlim_t Descriptors = 64;
    ScriptedServer Server(
        [](const auto &) { return ScriptedServer::answer("done"); });
    std::unique_ptr<FrontEnd> Front;
    {
      const FewDescriptors Lowered(Descriptors);
      Front = std::make_unique<FrontEnd>(
          std::vector<FrontEnd::Target>{{"cat-1", Server.port()}},
          adapters::HttpLimits(), 1);
    }
    std::deque<RawCaller> Crowd;
    for (int I = 0; I < 40; ++I)
      Crowd.emplace_back(Front->port());
    CPPUNIT_ASSERT_EQUAL(
        200U, Crowd.back().call(request("GET", "/search/7")).Status_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), evicted(*Front, "Idle"));
    CPPUNIT_ASSERT(Crowd.front().read().Closed_);
  }

  /// Guards against uploads that occupy all servers while nothing of them
  /// arrives.
  void holdNoServersWithUploadsThatStall() {
    ScriptedServer Server(
        [](const auto &) { return ScriptedServer::answer("done"); });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    std::deque<RawCaller> Crowd;
    for (int I = 0; I < 4; ++I) {
      Crowd.emplace_back(Front.port());
      Crowd.back().send(BulkHead + std::string(150000, 'z'));
    }
    CPPUNIT_ASSERT(eventually([&] { return evicted(Front, "Upload") == 3; }));
    CPPUNIT_ASSERT(eventually([&] { return Server.ended() == 3; }));
    Crowd.front().send(std::string(50000, 'z'));
    Crowd.back().send(std::string(50000, 'z'));
    const auto Served = [](RawCaller &Caller) {
      const unsigned Status = Caller.read().Status_;
      CPPUNIT_ASSERT(Status == 200U || Status == 504U || Status == 0U);
      return Status == 200U;
    };
    CPPUNIT_ASSERT(!(Served(Crowd.front()) && Served(Crowd.back())));
  }

  void mayUploadSlowlyButSteadily() {
    ScriptedServer Server(
        [](const auto &) { return ScriptedServer::answer("stored"); });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Stalled(Front.port());
    Stalled.send(BulkHead + std::string(150000, 'z'));
    RawCaller Steady(Front.port());
    Steady.send(BulkHead + std::string(150000, 'z'));
    for (int I = 0; I < 25; ++I) {
      std::this_thread::sleep_for(model::milliseconds(100));
      Steady.send(std::string(2000, 'z'));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("stored"), Steady.read().Body_);
  }

private:
  static std::uint64_t evicted(FrontEnd &Front, const std::string &Use) {
    const auto Counts = Front.traffic().stats().Evicted_;
    const auto Found = Counts.find(Use);
    return Found == Counts.end() ? 0 : Found->second;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ManyCallersAtOnce);

} // namespace
