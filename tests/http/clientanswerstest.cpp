#include "adapters/httpclient.h"
#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace cumingauge;
using namespace cumingauge::test;
using adapters::HttpClientAnswer;

namespace {

using Request = ScriptedServer::Request;

constexpr std::size_t MiB = 1024 * 1024;
/// What the service can write until it notices that it is cut off: the longest
/// answer, and the socket buffers of both sides.
constexpr std::size_t MaxBytesTaken = 32 * MiB;
/// Far longer than it takes to write MaxBytesTaken.
constexpr model::seconds AnswerTimeout{60};
const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

/// A client that waits for the answer to each call.
class BlockingClient {
public:
  explicit BlockingClient(const ScriptedServer &Service)
      : Client_(Io_, settings(Service)) {}

  HttpClientAnswer call(const std::string &Target = "/kv") {
    adapters::HttpClientCall Call;
    Call.Method_ = "GET";
    Call.Target_ = Target;
    std::optional<HttpClientAnswer> Out;
    Client_.call(Call, [&](const HttpClientAnswer &Got) { Out = Got; });
    Io_.restart();
    while (!Out && Io_.run_one() > 0) {
    }
    CPPUNIT_ASSERT(Out.has_value());
    return *Out;
  }

private:
  static adapters::HttpClientSettings settings(const ScriptedServer &Service) {
    adapters::HttpClientSettings Out;
    Out.Port_ = Service.port();
    Out.AnswerTimeout_ = AnswerTimeout;
    return Out;
  }

  boost::asio::io_context Io_{1};
  adapters::HttpClient Client_;
};

/// Answers of the platform's service or of the store.
class AnswerOfAService : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerOfAService);
  CPPUNIT_TEST(isNoneWhenItBreaksTheProtocol);
  CPPUNIT_TEST(isReadBehindInterimAnswers);
  CPPUNIT_TEST(isNotTakenForTheAnswerToALaterCall);
  CPPUNIT_TEST(isGivenUpWhenItsHeadOrBodyHasNoEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void isNoneWhenItBreaksTheProtocol() {
    const std::string End = "Content-Length: 2\r\n\r\n{}";
    for (const std::string &Broken :
         {"HTTP/1.1 000 Trouble\r\n" + End, "HTTP/1.1 099 OK\r\n" + End,
          "HTTP/1.1 600 OK\r\n" + End,
          "HTTP/1.1 101 Switching Protocols\r\n\r\n" + End,
          "HTTP/1.1 200 OK\r\nX A: 1\r\n" + End,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + End,
          std::string("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\n{}\r\n0\r\n\r\n"),
          Chunked + "\r\n2\r\n{}\r\n0\r\nX A: 1\r\n\r\n"}) {
      ScriptedServer Service([&](const Request &) { return Broken; });
      const HttpClientAnswer Got = BlockingClient(Service).call();
      CPPUNIT_ASSERT_MESSAGE(Broken, !Got.Answered_);
      CPPUNIT_ASSERT_MESSAGE(Broken, Got.MayHaveSent_);
      CPPUNIT_ASSERT(eventually([&] { return Service.ended() == 1; }));
    }
  }

  void isReadBehindInterimAnswers() {
    ScriptedServer Service([](const Request &) {
      return "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
             ScriptedServer::answer("{}");
    });
    BlockingClient Client(Service);
    for (int I = 0; I < 2; ++I) {
      const HttpClientAnswer Got = Client.call();
      CPPUNIT_ASSERT_EQUAL(200U, Got.Status_);
      CPPUNIT_ASSERT_EQUAL(std::string("{}"), Got.Body_);
    }
  }

  /// The service sends a second copy of its answer while the connection is
  /// idle.
  void isNotTakenForTheAnswerToALaterCall() {
    ScriptedServer Service([](const Request &Seen) {
      return ScriptedServer::answer(Seen.Head_.substr(0, 6));
    });
    Service.sendAfterAnswer(ScriptedServer::answer("GET /1"), 1,
                            model::milliseconds(100));
    BlockingClient Client(Service);
    CPPUNIT_ASSERT_EQUAL(std::string("GET /1"), Client.call("/1").Body_);
    CPPUNIT_ASSERT(eventually([&] { return Service.trailingBytes() > 0; }));
    CPPUNIT_ASSERT_EQUAL(std::string("GET /2"), Client.call("/2").Body_);
  }

  /// Guards against an answer that takes all memory of the process.
  void isGivenUpWhenItsHeadOrBodyHasNoEnd() {
    const std::string Filler(65536, 'x');
    for (const auto &Played : std::vector<std::pair<std::string, std::string>>{
             {"HTTP/1.1 200 ", Filler},
             {"HTTP/1.1 200 OK\r\n", "X-A: " + Filler + "\r\n"},
             {"", "HTTP/1.1 100 Continue\r\n\r\n"},
             {"HTTP/1.1 200 OK\r\n\r\n", Filler},
             {Chunked + "\r\n", "10000\r\n" + Filler + "\r\n"},
             {Chunked + "\r\n5;a=", Filler},
             {Chunked + "\r\n0\r\nX-A: ", Filler}}) {
      ScriptedServer Service(
          [&](const Request &) { return Played.first + Played.second; });
      Service.sendWithoutEnd(Played.second);
      CPPUNIT_ASSERT_MESSAGE(Played.first,
                             !BlockingClient(Service).call().Answered_);
      CPPUNIT_ASSERT(eventually([&] { return Service.closed() == 1; }));
      CPPUNIT_ASSERT_MESSAGE(Played.first,
                             Service.trailingBytes() < MaxBytesTaken);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnswerOfAService);

} // namespace
