#include "http/frontend.h"
#include "http/gate.h"
#include "http/scriptedserver.h"
#include <algorithm>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <sstream>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

using Request = ScriptedServer::Request;

bool isFor(const Request &Seen, const std::string &Target) {
  return Seen.Head_.find(Target + " ") != std::string::npos;
}

std::size_t countOf(const ScriptedServer &Server, const std::string &Target) {
  const auto Seen = Server.requests();
  return static_cast<std::size_t>(
      std::count_if(Seen.begin(), Seen.end(),
                    [&](const Request &One) { return isFor(One, Target); }));
}

std::uint64_t countConnections(FrontEnd &Front) {
  return Front.traffic().stats().CallerConnections_;
}

std::string search(const std::string &What) {
  return request("GET", "/search/" + What);
}

/// Returns how an answer differs from the expected body.
std::string describe(const RawCaller::Answer &Got,
                     const std::string &Expected) {
  const auto Differs = std::mismatch(Got.Body_.begin(), Got.Body_.end(),
                                     Expected.begin(), Expected.end());
  const std::size_t Same =
      static_cast<std::size_t>(Differs.first - Got.Body_.begin());
  std::ostringstream Out;
  Out << "status " << Got.Status_ << ", result code " << Got.ResultCode_
      << (Got.Whole_ ? ", whole" : ", not whole")
      << (Got.Closed_ ? ", closed" : "") << ", " << Got.Body_.size() << " of "
      << Expected.size() << " bytes, the first " << Same
      << " as expected, followed by \"" << Got.Body_.substr(Same, 300) << "\"";
  return Out.str();
}

class PipelinedRequests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PipelinedRequests);
  CPPUNIT_TEST(runConcurrently);
  CPPUNIT_TEST(areAnsweredInOrder);
  CPPUNIT_TEST(waitForEarlierCallsWhenNotIdempotent);
  CPPUNIT_TEST(areRefusedInOrder);
  CPPUNIT_TEST(areBufferedInPartWhenTheirAnswersAreLong);
  CPPUNIT_TEST(loseNoPieceOfAnAnswerThatArrivesWhileItsFirstPieceIsWritten);
  CPPUNIT_TEST(keepAnAnswerWhenTheNextOneBreaksOff);
  CPPUNIT_TEST(areCancelledWhenTheCallerDisconnects);
  CPPUNIT_TEST(areAllAnsweredBeforeADrainingConnectionCloses);
  CPPUNIT_TEST_SUITE_END();

public:
  void runConcurrently() {
    Gate Second;
    ScriptedServer Server([&](const Request &Seen) {
      if (isFor(Seen, "/search/1") && !Second.pass())
        return std::string();
      if (isFor(Seen, "/search/2"))
        Second.open();
      return ScriptedServer::answer("found");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    Caller.send(search("1") + search("2"));
    CPPUNIT_ASSERT_EQUAL(200U, Caller.read().Status_);
    CPPUNIT_ASSERT_EQUAL(200U, Caller.read().Status_);
  }

  void areAnsweredInOrder() {
    Gate Others;
    ScriptedServer Server([&](const Request &Seen) {
      if (isFor(Seen, "/search/1"))
        Others.pass();
      const std::size_t At = Seen.Head_.find("/search/") + 8;
      return ScriptedServer::answer(Seen.Head_.substr(At, 1));
    });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    std::string All;
    for (char Digit = '1'; Digit <= '9'; ++Digit)
      All += search(std::string(1, Digit));
    Caller.send(All);
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 9; }));
    Others.open();
    for (char Digit = '1'; Digit <= '9'; ++Digit)
      CPPUNIT_ASSERT_EQUAL(std::string(1, Digit), Caller.read().Body_);
    CPPUNIT_ASSERT_EQUAL(std::string("7"), Caller.call(search("7")).Body_);
  }

  void waitForEarlierCallsWhenNotIdempotent() {
    Gate First;
    std::atomic<bool> Early{false};
    std::atomic<bool> Answered{false};
    ScriptedServer Server([&](const Request &Seen) {
      if (isFor(Seen, "/search/1"))
        First.pass();
      if (isFor(Seen, "/licence") && !Answered)
        Early = true;
      return ScriptedServer::answer("done");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    Caller.send(search("1") + search("2") +
                request("POST", "/licence", "", "x") + search("3"));
    CPPUNIT_ASSERT(
        eventually([&] { return countOf(Server, "/search/2") == 1; }));
    Answered = true;
    First.open();
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT_EQUAL(200U, Caller.read().Status_);
    CPPUNIT_ASSERT(!Early);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), countOf(Server, "/licence"));
  }

  void areRefusedInOrder() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("found"); });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    Caller.send(search("1") + request("GET", "/nowhere") + search("2"));
    CPPUNIT_ASSERT_EQUAL(200U, Caller.read().Status_);
    CPPUNIT_ASSERT_EQUAL(404U, Caller.read().Status_);
  }

  void areBufferedInPartWhenTheirAnswersAreLong() {
    const std::string Long(1048576, 'b');
    Gate First;
    ScriptedServer Server([&](const Request &Seen) {
      if (isFor(Seen, "/search/1"))
        First.pass();
      return ScriptedServer::answer(isFor(Seen, "/search/2") ? Long : "short");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    Caller.send(search("1") + search("2") + search("3"));
    CPPUNIT_ASSERT(
        eventually([&] { return countOf(Server, "/search/3") == 1; }));
    First.open();
    CPPUNIT_ASSERT_EQUAL(std::string("short"), Caller.read().Body_);
    const auto Second = Caller.read();
    CPPUNIT_ASSERT_MESSAGE(describe(Second, Long), Long == Second.Body_);
    CPPUNIT_ASSERT_EQUAL(std::string("short"), Caller.read().Body_);
  }

  void loseNoPieceOfAnAnswerThatArrivesWhileItsFirstPieceIsWritten() {
    const std::string Long(131072, 'b');
    Gate First;
    Gate Second;
    Gate Arrived;
    ScriptedServer Server([&](const Request &Seen) {
      const bool IsFirst = isFor(Seen, "/search/1");
      (IsFirst ? First : Second).pass();
      return ScriptedServer::answer(IsFirst ? "short" : Long);
    });
    adapters::HttpLimits Limits;
    Limits.IdleTimeout_ = model::milliseconds(2000); // ends a short answer
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1);
    RawCaller Caller(Front.port());
    Caller.send(search("1") + search("2"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 2; }));

    // The thread finds both answers at once: the second one goes on arriving
    // when the first one has been written.
    Front.holdThread(Arrived);
    RawCaller Other(Front.port());
    Other.send(search("3"));
    CPPUNIT_ASSERT(eventually([&] { return Front.isThreadHeld(); }));
    First.open();
    CPPUNIT_ASSERT(eventually([&] { return Server.answers() == 1; }));
    Second.open();
    CPPUNIT_ASSERT(eventually([&] { return Server.answers() == 2; }));
    Arrived.open();

    CPPUNIT_ASSERT_EQUAL(std::string("short"), Caller.read().Body_);
    const auto Answer = Caller.read();
    CPPUNIT_ASSERT_MESSAGE(describe(Answer, Long), Long == Answer.Body_);
    CPPUNIT_ASSERT_EQUAL(200U, Caller.call(search("4")).Status_);
  }

  void keepAnAnswerWhenTheNextOneBreaksOff() {
    const std::string Long(1048576, 'b');
    ScriptedServer Server([&](const Request &Seen) {
      const std::string Answer = ScriptedServer::answer(Long);
      return isFor(Seen, "/search/1") ? Answer : Answer.substr(0, 100);
    });
    Server.closeAfterAnswer();
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    CPPUNIT_ASSERT(eventually([&] { return countConnections(Front) == 1; }));
    Caller.send(search("1") + search("2"));
    CPPUNIT_ASSERT(eventually([&] { return countConnections(Front) == 0; }));
    const auto First = Caller.read();
    CPPUNIT_ASSERT_MESSAGE(describe(First, Long), Long == First.Body_);
    CPPUNIT_ASSERT(!Caller.read().Whole_);
  }

  void areCancelledWhenTheCallerDisconnects() {
    Gate End;
    ScriptedServer Server([&](const Request &) {
      End.pass();
      return ScriptedServer::answer("late");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    Caller.send(search("1") + search("2") + search("3"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 3; }));
    Caller.disconnect();
    CPPUNIT_ASSERT(
        eventually([&] { return Front.traffic().stats().InFlight_ == 0; }));
    End.open();
  }

  void areAllAnsweredBeforeADrainingConnectionCloses() {
    Gate End;
    ScriptedServer Server([&](const Request &) {
      End.pass();
      return ScriptedServer::answer("found");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1);
    RawCaller Caller(Front.port());
    Caller.send(search("1") + search("2"));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 2; }));
    Front.traffic().drain([] {});
    End.open();
    const auto First = Caller.read();
    CPPUNIT_ASSERT_EQUAL(200U, First.Status_);
    CPPUNIT_ASSERT(First.Head_.find("Connection: close") == std::string::npos);
    const auto Second = Caller.read();
    CPPUNIT_ASSERT_EQUAL(200U, Second.Status_);
    CPPUNIT_ASSERT(Second.Head_.find("Connection: close") != std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PipelinedRequests);

} // namespace
