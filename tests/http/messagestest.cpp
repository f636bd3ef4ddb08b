#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

using Request = ScriptedServer::Request;

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// Returns the resident memory of this process in bytes.
std::size_t residentBytes() {
  std::size_t Total = 0;
  std::size_t Resident = 0;
  std::ifstream("/proc/self/statm") >> Total >> Resident;
  return Resident * 4096;
}

std::string echo(const Request &Seen) {
  return ScriptedServer::answer(Seen.Body_);
}

class ForwardedMessages : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardedMessages);
  CPPUNIT_TEST(loseTheirHopByHopFields);
  CPPUNIT_TEST(carryCallIdAttemptAndDeadline);
  CPPUNIT_TEST(mayBeChunkedOnBothSides);
  CPPUNIT_TEST(mayAnswerHeadRequests);
  CPPUNIT_TEST(mayHaveNoBody);
  CPPUNIT_TEST(waitForContinueWhenExpected);
  CPPUNIT_TEST(mayBePipelined);
  CPPUNIT_TEST(mayBePipelinedWhileEarlierOnesRun);
  CPPUNIT_TEST(streamLargeRequests);
  CPPUNIT_TEST(streamLargeAnswersInBoundedMemory);
  CPPUNIT_TEST(mayBeSplitAtAnyByte);
  CPPUNIT_TEST_SUITE_END();

public:
  void loseTheirHopByHopFields() {
    ScriptedServer Server([](const Request &) {
      return ScriptedServer::answer(
          "", "Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nX-End: 2\r\n");
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    const auto Answer = RawCaller(Front.port())
                            .call(request("GET", "/search",
                                          "Connection: X-Mine\r\nX-Mine: 1\r\n"
                                          "TE: trailers\r\nX-Kept: 2\r\n"));
    const std::string Seen = Server.requests().at(0).Head_;
    CPPUNIT_ASSERT(!contains(Seen, "X-Mine") && !contains(Seen, "TE:"));
    CPPUNIT_ASSERT(contains(Seen, "X-Kept: 2"));
    CPPUNIT_ASSERT(!contains(Answer.Head_, "X-Hop") &&
                   contains(Answer.Head_, "X-End: 2"));
  }

  void carryCallIdAttemptAndDeadline() {
    ScriptedServer Server(echo);
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    const auto Answer =
        Caller.call(request("POST", "/licence",
                            "X-Call-Id: mine-1\r\nIdempotency-Key: k1\r\n"
                            "X-Deadline-Ms: 400\r\n",
                            "x"));
    Caller.call(request("POST", "/licence", "", "x"));
    const auto Seen = Server.requests();
    CPPUNIT_ASSERT(contains(Seen.at(0).Head_, "X-Call-Id: mine-1\r\n"));
    CPPUNIT_ASSERT(contains(Seen.at(0).Head_, "X-Attempt: 1\r\n"));
    CPPUNIT_ASSERT(contains(Seen.at(0).Head_, "Idempotency-Key: k1\r\n"));
    const std::size_t Deadline = Seen.at(0).Head_.find("X-Deadline-Ms: ");
    CPPUNIT_ASSERT(std::stoi(Seen.at(0).Head_.substr(Deadline + 15)) <= 400);
    CPPUNIT_ASSERT(contains(Answer.Head_, "X-Call-Id: mine-1\r\n"));
    CPPUNIT_ASSERT(contains(Seen.at(1).Head_, "X-Call-Id: "));
  }

  void mayBeChunkedOnBothSides() {
    ScriptedServer Server([](const Request &Seen) {
      return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nin \r\n" +
             std::string("1\r\n") + Seen.Body_.substr(0, 1) +
             "\r\n0\r\nX-Trailer: 1\r\n\r\n";
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    for (int I = 0; I < 2; ++I) {
      const auto Answer = Caller.call(
          request("POST", "/licence", "Transfer-Encoding: chunked\r\n") +
          "4;ext=1\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n");
      CPPUNIT_ASSERT_EQUAL(std::string("in w"), Answer.Body_);
      CPPUNIT_ASSERT(Answer.Whole_);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Server.requests().at(1).Body_);
    CPPUNIT_ASSERT_EQUAL(1U, Server.connections());
  }

  void mayAnswerHeadRequests() {
    ScriptedServer Server([](const Request &) {
      return "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n";
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    for (int I = 0; I < 2; ++I) {
      const auto Answer = Caller.call(request("HEAD", "/search"), true);
      CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
      CPPUNIT_ASSERT(contains(Answer.Head_, "Content-Length: 5000"));
    }
    const auto Refused = Caller.call(request("HEAD", "/nowhere"), true);
    CPPUNIT_ASSERT_EQUAL(404U, Refused.Status_);
    CPPUNIT_ASSERT_EQUAL(1U, Server.connections());
  }

  void mayHaveNoBody() {
    ScriptedServer Server([](const Request &Seen) {
      return Seen.Number_ == 1 ? "HTTP/1.1 204 No Content\r\n\r\n"
             : Seen.Number_ == 2
                 ? "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"
                 : ScriptedServer::answer("body");
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    CPPUNIT_ASSERT_EQUAL(204U, Caller.call(request("GET", "/search")).Status_);
    CPPUNIT_ASSERT_EQUAL(304U, Caller.call(request("GET", "/search")).Status_);
    CPPUNIT_ASSERT_EQUAL(std::string("body"),
                         Caller.call(request("GET", "/search")).Body_);
    CPPUNIT_ASSERT_EQUAL(1U, Server.connections());
  }

  void waitForContinueWhenExpected() {
    ScriptedServer Server(echo);
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    const auto Interim = Caller.call(request(
        "POST", "/licence", "Expect: 100-continue\r\nContent-Length: 4\r\n"));
    CPPUNIT_ASSERT_EQUAL(100U, Interim.Status_);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), Caller.call("body").Body_);
    CPPUNIT_ASSERT(!contains(Server.requests().at(0).Head_, "Expect"));
  }

  void mayBePipelined() {
    ScriptedServer Server(echo);
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    std::string Many;
    for (int I = 0; I < 50; ++I)
      Many += request("POST", "/licence", "", "call " + std::to_string(I));
    Caller.send(Many);
    for (int I = 0; I < 50; ++I)
      CPPUNIT_ASSERT_EQUAL("call " + std::to_string(I), Caller.read().Body_);
  }

  /// Each request arrives while an earlier call runs and a read is in progress.
  /// Parsing the request must not move the buffer of that read.
  void mayBePipelinedWhileEarlierOnesRun() {
    ScriptedServer Server([](const Request &Seen) {
      std::this_thread::sleep_for(std::chrono::milliseconds(60));
      return echo(Seen);
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    for (int I = 0; I < 6; ++I) {
      Caller.send(request("POST", "/licence", "", "call " + std::to_string(I)));
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (int I = 0; I < 6; ++I)
      CPPUNIT_ASSERT_EQUAL("call " + std::to_string(I), Caller.read().Body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Server.requests().size());
  }

  void streamLargeRequests() {
    ScriptedServer Server([](const Request &Seen) {
      return ScriptedServer::answer(
          std::to_string(Seen.Body_.size()) +
          Seen.Body_.substr(Seen.Body_.find_first_not_of("bc")));
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    const std::string Body = std::string(8000000, 'b') + "end";
    CPPUNIT_ASSERT_EQUAL(std::string("8000003end"),
                         Caller.call(request("POST", "/bulk", "", Body)).Body_);
    CPPUNIT_ASSERT_EQUAL(
        std::string("200003end"),
        Caller
            .call(request("POST", "/bulk", "Transfer-Encoding: chunked\r\n") +
                  "30d43\r\n" + std::string(200000, 'c') + "end\r\n0\r\n\r\n")
            .Body_);
    CPPUNIT_ASSERT_EQUAL(
        std::string("1x"),
        Caller.call(request("POST", "/licence", "", "x")).Body_);
  }

  void streamLargeAnswersInBoundedMemory() {
    constexpr std::size_t PieceBytes = 1048576;
    constexpr std::size_t Pieces = 256;
    const std::string Piece(PieceBytes, 'p');
    ScriptedServer Server([&](const Request &) {
      return "HTTP/1.1 200 OK\r\nContent-Length: " +
             std::to_string(PieceBytes * Pieces) + "\r\n\r\n";
    });
    Server.sendAfterAnswer(Piece, Pieces);
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    Caller.send(request("GET", "/bulk"));
    const std::size_t Before = residentBytes();
    std::size_t Largest = 0;
    const std::size_t Got = Caller.discardAnswer(
        [&] { Largest = std::max(Largest, residentBytes()); });
    CPPUNIT_ASSERT(Got >= PieceBytes * Pieces);
    CPPUNIT_ASSERT(Largest < Before + 32 * PieceBytes);
  }

  void mayBeSplitAtAnyByte() {
    ScriptedServer Server(echo);
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    const std::string Bytes = request("POST", "/licence", "", "body");
    for (std::size_t Cut = 1; Cut < Bytes.size(); ++Cut) {
      Caller.send(Bytes.substr(0, Cut));
      CPPUNIT_ASSERT_EQUAL(std::string("body"),
                           Caller.call(Bytes.substr(Cut)).Body_);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedMessages);

} // namespace
