#include "http/frontend.h"
#include "http/scriptedserver.h"
#include "model/resultcode.h"
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

using Request = ScriptedServer::Request;

const std::string Shed = ScriptedServer::answer("no", "X-Not-Run: shed\r\n",
                                                "503 Service Unavailable");

/// Returns a port on which nobody listens.
std::uint16_t closedPort() {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Acceptor(
      Io, {boost::asio::ip::address_v4::loopback(), 0});
  return Acceptor.local_endpoint().port();
}

void assertCode(model::ResultCode Expected, const RawCaller::Answer &Answer) {
  CPPUNIT_ASSERT_EQUAL(std::to_string(static_cast<int>(Expected)) + " " +
                           std::string(model::nameOf(Expected)),
                       Answer.ResultCode_);
  CPPUNIT_ASSERT_EQUAL(model::httpStatusOf(Expected), Answer.Status_);
  CPPUNIT_ASSERT(Answer.Whole_);
}

/// Checks on real connections which answer or result code a caller gets for
/// each way in which an attempt can end.
class OutcomesForACaller : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutcomesForACaller);
  CPPUNIT_TEST(notRunWhenNoServerCanBeReached);
  CPPUNIT_TEST(answersFromAnotherServerWhenOneSheds);
  CPPUNIT_TEST(notRunWhenAllServersShed);
  CPPUNIT_TEST(unknownWhenTheConnectionIsLostAfterSending);
  CPPUNIT_TEST(answersFromARetryWhenTheCallIsIdempotent);
  CPPUNIT_TEST(unknownWhenTheDeadlinePasses);
  CPPUNIT_TEST(unknownWhenAnUploadStallsThatAServerHasBegun);
  CPPUNIT_TEST(refusedWhenABodyStallsThatNoServerHasSeen);
  CPPUNIT_TEST(unknownWhenTheAnswerIsMalformed);
  CPPUNIT_TEST(unknownWhenTheAnswerHasNoLength);
  CPPUNIT_TEST(abortsTheTransferWhenTheAnswerIsTruncated);
  CPPUNIT_TEST(abortsTheTransferWhenAChunkedAnswerIsTruncated);
  CPPUNIT_TEST(notRunWhenTheControlViewIsStale);
  CPPUNIT_TEST(answersWhenTheViewBecomesFreshInTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void notRunWhenNoServerCanBeReached() {
    FrontEnd Front({{"cat-1", closedPort()}, {"cat-2", closedPort()}});
    const auto Answer =
        RawCaller(Front.port()).call(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT_EQUAL(503U, Answer.Status_);
    CPPUNIT_ASSERT(model::isNotRun(
        static_cast<model::ResultCode>(std::stoi(Answer.ResultCode_))));
  }

  void answersFromAnotherServerWhenOneSheds() {
    ScriptedServer Refusing([](const Request &) { return Shed; });
    ScriptedServer Serving(
        [](const Request &) { return ScriptedServer::answer("issued"); });
    FrontEnd Front({{"cat-1", Refusing.port()}, {"cat-2", Serving.port()}});
    RawCaller Caller(Front.port());
    for (int I = 0; I < 6; ++I)
      CPPUNIT_ASSERT_EQUAL(
          std::string("issued"),
          Caller.call(request("POST", "/licence", "", "x")).Body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Serving.requests().size());
    CPPUNIT_ASSERT_EQUAL(1U,
                         Refusing.connections()); // reused after short refusals
  }

  void notRunWhenAllServersShed() {
    ScriptedServer Refusing([](const Request &) { return Shed; });
    FrontEnd Front({{"cat-1", Refusing.port()}});
    const auto Answer =
        RawCaller(Front.port()).call(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT_EQUAL(503U, Answer.Status_);
    CPPUNIT_ASSERT(model::isNotRun(
        static_cast<model::ResultCode>(std::stoi(Answer.ResultCode_))));
  }

  void unknownWhenTheConnectionIsLostAfterSending() {
    ScriptedServer Disconnecting([](const Request &) { return ""; });
    ScriptedServer Unused(
        [](const Request &) { return ScriptedServer::answer("issued"); });
    FrontEnd Front({{"cat-1", Disconnecting.port()}});
    RawCaller Caller(Front.port());
    assertCode(model::ResultCode::UnknownConnectionLost,
               Caller.call(request("POST", "/licence", "", "x")));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Disconnecting.requests().size());
  }

  void answersFromARetryWhenTheCallIsIdempotent() {
    ScriptedServer Disconnecting([](const Request &) { return ""; });
    ScriptedServer Serving(
        [](const Request &) { return ScriptedServer::answer("found"); });
    FrontEnd Front(
        {{"cat-1", Disconnecting.port()}, {"cat-2", Serving.port()}});
    RawCaller Caller(Front.port());
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("found"),
                           Caller.call(request("GET", "/search")).Body_);
    CPPUNIT_ASSERT(!Disconnecting.requests().empty());
  }

  void unknownWhenTheDeadlinePasses() {
    std::atomic<bool> MayAnswer{false};
    ScriptedServer Late([&](const Request &Request) {
      if (Request.Number_ == 1)
        eventually([&] { return MayAnswer.load(); });
      return ScriptedServer::answer("answer " +
                                    std::to_string(Request.Number_));
    });
    FrontEnd Front({{"cat-1", Late.port()}});
    RawCaller Caller(Front.port());
    assertCode(
        model::ResultCode::UnknownDeadline,
        Caller.call(request("POST", "/licence", "X-Deadline-Ms: 50\r\n", "x")));
    MayAnswer = true; // the late answer must not reach the next call
    CPPUNIT_ASSERT_EQUAL(
        std::string("answer 2"),
        Caller.call(request("POST", "/licence", "", "y")).Body_);
    CPPUNIT_ASSERT_EQUAL(2U, Late.connections());
  }

  /// Guards against the promise of a 408 for an upload that a server runs.
  void unknownWhenAnUploadStallsThatAServerHasBegun() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("stored"); });
    adapters::HttpLimits Limits;
    Limits.BodyTimeout_ = model::milliseconds(200);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    RawCaller Caller(Front.port());
    Caller.send("POST /bulk HTTP/1.1\r\nHost: cumingauge\r\n"
                "Content-Length: 200000\r\n\r\n" +
                std::string(150000, 'z'));
    assertCode(model::ResultCode::UnknownDeadline, Caller.read());
    CPPUNIT_ASSERT_EQUAL(1U, Server.connections());
  }

  void refusedWhenABodyStallsThatNoServerHasSeen() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("stored"); });
    adapters::HttpLimits Limits;
    Limits.BodyTimeout_ = model::milliseconds(200);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    RawCaller Caller(Front.port());
    Caller.send("POST /bulk HTTP/1.1\r\nHost: cumingauge\r\n"
                "Content-Length: 20000\r\n\r\n" +
                std::string(15000, 'z'));
    assertCode(model::ResultCode::RequestTimeout, Caller.read());
    CPPUNIT_ASSERT_EQUAL(0U, Server.connections());
  }

  void unknownWhenTheAnswerIsMalformed() {
    ScriptedServer Garbling(
        [](const Request &) { return "HTP/1.1 what\r\n\r\n"; });
    FrontEnd Front({{"cat-1", Garbling.port()}});
    assertCode(
        model::ResultCode::UnknownAnswerMalformed,
        RawCaller(Front.port()).call(request("POST", "/licence", "", "x")));
  }

  void unknownWhenTheAnswerHasNoLength() {
    ScriptedServer WithoutLength(
        [](const Request &) { return "HTTP/1.1 200 OK\r\n\r\nhow long?"; });
    FrontEnd Front({{"cat-1", WithoutLength.port()}});
    assertCode(
        model::ResultCode::UnknownAnswerMalformed,
        RawCaller(Front.port()).call(request("POST", "/licence", "", "x")));
  }

  void abortsTheTransferWhenTheAnswerIsTruncated() {
    assertTransferAborted(
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly half");
  }

  void abortsTheTransferWhenAChunkedAnswerIsTruncated() {
    assertTransferAborted(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "9\r\nonly half\r\n");
  }

  void notRunWhenTheControlViewIsStale() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("issued"); });
    adapters::HttpLimits Limits;
    Limits.FreshWait_ = model::milliseconds(30);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    Front.setFresh(false);
    assertCode(
        model::ResultCode::NotRunControlStale,
        RawCaller(Front.port()).call(request("POST", "/licence", "", "x")));
    CPPUNIT_ASSERT(Server.requests().empty());
  }

  void answersWhenTheViewBecomesFreshInTime() {
    ScriptedServer Server(
        [](const Request &) { return ScriptedServer::answer("issued"); });
    adapters::HttpLimits Limits;
    Limits.FreshWait_ = model::milliseconds(60000);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    Front.setFresh(false);
    RawCaller Caller(Front.port());
    Caller.send(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(
        eventually([&] { return Front.traffic().stats().InFlight_ == 1; }));
    CPPUNIT_ASSERT(Server.requests().empty());
    Front.setFresh(true);
    CPPUNIT_ASSERT_EQUAL(std::string("issued"), Caller.read().Body_);
  }

private:
  /// Checks that the caller gets no whole answer when a server writes \p Bytes
  /// and closes the connection.
  void assertTransferAborted(const std::string &Bytes) {
    ScriptedServer Truncating([&](const Request &Request) {
      return Request.Number_ == 1 ? Bytes : "";
    });
    Truncating.closeAfterAnswer();
    FrontEnd Front({{"cat-1", Truncating.port()}});
    const auto Answer =
        RawCaller(Front.port()).call(request("POST", "/licence", "", "x"));
    CPPUNIT_ASSERT(!Answer.Whole_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OutcomesForACaller);

} // namespace
