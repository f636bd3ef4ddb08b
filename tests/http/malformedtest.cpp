#include "http/frontend.h"
#include "http/scriptedserver.h"
#include "model/resultcode.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::test;
using model::ResultCode;

namespace {

/// A request that must be refused, and the result codes that are allowed for
/// it.
struct Malformed {
  std::string Bytes_;
  std::set<ResultCode> Codes_;
};

const std::set<ResultCode> Syntax = {ResultCode::RequestMalformed};
const std::set<ResultCode> Length = {ResultCode::RequestLengthConflict,
                                     ResultCode::RequestMalformed};

std::string post(const std::string &Fields, const std::string &Body = "") {
  return "POST /licence HTTP/1.1\r\nHost: a\r\n" + Fields + "\r\n" + Body;
}

std::string numberText(int From, int To) {
  return std::to_string(*rc::gen::inRange(From, To));
}

std::string letters(std::size_t Longest) {
  const auto Size = *rc::gen::inRange<std::size_t>(1, Longest + 1);
  return *rc::gen::container<std::string>(Size, rc::gen::inRange('a', 'z'));
}

/// Returns a character that is not allowed in a token.
std::string separator() {
  return std::string(1, *rc::gen::element('(', ')', '<', '>', '@', ',', ';',
                                          '\\', '"', '/', '[', ']', '?', '=',
                                          '{', '}', '\x01', '\x7f'));
}

Malformed firstLine() {
  const std::string Bad = *rc::gen::element<std::string>(
      "PO" + separator() + "ST /licence HTTP/1.1",
      "POST /licence HTTP/" + numberText(2, 10) + "." + numberText(2, 10),
      "POST /licence HTP/1.1", "POST /licence", "POST  /licence HTTP/1.1",
      "POST licence HTTP/1.1", "POST * HTTP/1.1",
      "POST /lic\x01"
      "ence HTTP/1.1",
      "POST http://other/licence HTTP/1.1", " POST /licence HTTP/1.1",
      "POST /licence HTTP/1.1 " + letters(4), "CONNECT a:80 HTTP/1.1");
  return {Bad + "\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", Syntax};
}

Malformed fieldLine() {
  const std::string Bad = *rc::gen::element<std::string>(
      letters(9), letters(5) + separator() + ": 1", letters(4) + " : 1",
      ": no name", letters(3) + ": a\x01" + letters(3),
      letters(3) + ": a" + std::string(1, '\0') + "b", "Host: b");
  return {post(Bad + "\r\nContent-Length: 1\r\n", "x"), Syntax};
}

Malformed hostField() {
  return {"GET /search?" + letters(9) + " HTTP/1.1\r\nAccept: " + letters(9) +
              "\r\n\r\n",
          Syntax};
}

Malformed bodyLength() {
  const std::string Bad = *rc::gen::element<std::string>(
      "Content-Length: -" + numberText(1, 99) + "\r\n",
      "Content-Length: " + numberText(1, 99) + letters(2) + "\r\n",
      "Content-Length: 18446744073709551616" + numberText(0, 9) + "\r\n",
      "Content-Length: 1\r\nContent-Length: " + numberText(2, 99) + "\r\n",
      "Content-Length: 1, " + numberText(2, 99) + "\r\n",
      "Content-Length: +1\r\n", "Content-Length: 0x1\r\n",
      "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: " + numberText(0, 99) +
          "\r\n",
      "Transfer-Encoding: " + letters(6) + "\r\n",
      "Transfer-Encoding: " + letters(6) + ", chunked\r\n",
      "Transfer-Encoding: chunked, " + letters(6) + "\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: " + letters(5) +
          "\r\n");
  return {post(Bad, "1\r\nx\r\n0\r\n\r\n"), Length};
}

Malformed chunkedHttp10() {
  return {"POST /licence HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
          "1\r\nx\r\n0\r\n\r\n",
          Length};
}

Malformed chunk() {
  const std::string Bad = *rc::gen::element<std::string>(
      "z\r\nx\r\n0\r\n\r\n", "1\r\nxy\r\n0\r\n\r\n",
      "-" + numberText(1, 9) + "\r\nx\r\n0\r\n\r\n", "\r\nx\r\n0\r\n\r\n",
      "ffffffffffffffff" + numberText(1, 9) + "\r\nx\r\n0\r\n\r\n",
      "1 1\r\nx\r\n0\r\n\r\n", "1\r\nx" + letters(4) + "\r\n0\r\n\r\n");
  return {post("Transfer-Encoding: chunked\r\n", Bad), Length};
}

Malformed protocolField() {
  const std::string Bad = *rc::gen::element<std::string>(
      "X-Deadline-Ms: " + letters(4), "X-Deadline-Ms: -1",
      "X-Deadline-Ms: ", "X-Deadline-Ms: 99999999999",
      "X-Attempt: " + letters(4), "X-Attempt: 1.5");
  return {post(Bad + "\r\nContent-Length: 1\r\n", "x"), Syntax};
}

Malformed expectation() {
  return {post("Expect: " + letters(12) + "\r\nContent-Length: 1\r\n", "x"),
          {ResultCode::RequestExpectationUnknown}};
}

Malformed oversizedHead() {
  const auto Size = *rc::gen::inRange<std::size_t>(17000, 60000);
  const std::string Long(Size, 'x');
  const std::string Bytes = *rc::gen::element<std::string>(
      post("X-Long: " + Long + "\r\n"),
      "GET /search?" + Long + " HTTP/1.1\r\nHost: a\r\n\r\n", Long);
  return {Bytes,
          {ResultCode::RequestHeadersTooLarge, ResultCode::RequestMalformed}};
}

Malformed oversizedBody() {
  const std::string Bytes = *rc::gen::element<std::string>(
      post("Content-Length: " + numberText(5001, 999999) + "\r\n"),
      post("Transfer-Encoding: chunked\r\n",
           "1389\r\n" + std::string(5001, 'x') + "\r\n"));
  return {Bytes, {ResultCode::RequestBodyTooLarge}};
}

Malformed noRoute() {
  return {"GET /" + std::string("x") + letters(9) +
              " HTTP/1.1\r\nHost: a\r\n\r\n",
          {ResultCode::RequestNoRoute}};
}

Malformed anyMalformed() {
  static Malformed (*const Kinds[])() = {
      firstLine,     fieldLine,     hostField,     bodyLength,
      chunkedHttp10, chunk,         protocolField, noRoute,
      expectation,   oversizedHead, oversizedBody};
  constexpr std::size_t Count = std::size(Kinds);
  return Kinds[*rc::gen::resize(rc::kNominalSize,
                                rc::gen::inRange<std::size_t>(0, Count))]();
}

class MalformedRequests : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedRequests);
  CPPUNIT_TEST(getTheirErrorAndReachNoServer);
  CPPUNIT_TEST(doNotSmuggleAnotherRequest);
  CPPUNIT_TEST(timeOutWhenTheirCallerIsTooSlow);
  CPPUNIT_TEST_SUITE_END();

public:
  void getTheirErrorAndReachNoServer() {
    ScriptedServer Server([](const ScriptedServer::Request &) {
      return ScriptedServer::answer("fine");
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    Front.changePreset([](model::Preset &Preset) {
      for (model::Route &Route : Preset.Routes_)
        Route.MaxBodyBytes_ = 5000;
    });
    std::size_t Sent = 0;
    CPPUNIT_ASSERT(rc::check("each malformed request gets its error", [&] {
      for (int I = 0; I < 5; ++I) {
        const Malformed Bad = anyMalformed();
        const auto Answer = RawCaller(Front.port()).call(Bad.Bytes_);
        ++Sent;
        const auto Code =
            static_cast<ResultCode>(std::atoi(Answer.ResultCode_.c_str()));
        RC_LOG() << Bad.Bytes_.substr(0, 300) << " gave " << Answer.Head_;
        RC_ASSERT(Answer.Whole_);
        RC_ASSERT(Bad.Codes_.count(Code) == 1U);
        RC_ASSERT(Answer.Status_ == model::httpStatusOf(Code));
      }
    }));
    CPPUNIT_ASSERT(Sent >= 500);
    CPPUNIT_ASSERT(Server.requests().empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string("fine"),
        RawCaller(Front.port()).call(request("GET", "/search")).Body_);
  }

  void doNotSmuggleAnotherRequest() {
    // What follows a refused request must not be parsed as a request.
    ScriptedServer Server([](const ScriptedServer::Request &) {
      return ScriptedServer::answer("fine");
    });
    FrontEnd Front({{"cat-1", Server.port()}});
    RawCaller Caller(Front.port());
    const auto Answer =
        Caller.call(post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                         "0\r\n\r\n") +
                    request("POST", "/licence", "", "smuggled"));
    CPPUNIT_ASSERT_EQUAL(400U, Answer.Status_);
    CPPUNIT_ASSERT(Caller.read().Closed_);
    CPPUNIT_ASSERT(Server.requests().empty());
  }

  void timeOutWhenTheirCallerIsTooSlow() {
    ScriptedServer Server([](const ScriptedServer::Request &) {
      return ScriptedServer::answer("fine");
    });
    adapters::HttpLimits Limits;
    Limits.HeadTimeout_ = model::milliseconds(50);
    Limits.BodyTimeout_ = model::milliseconds(50);
    FrontEnd Front({{"cat-1", Server.port()}}, Limits);
    for (const std::string &Part :
         {std::string("POST /licence HTTP/1.1\r\nHo"),
          post("Content-Length: 100\r\n", "a beginning"),
          post("Transfer-Encoding: chunked\r\n", "4\r\nab")}) {
      const auto Answer = RawCaller(Front.port()).call(Part);
      CPPUNIT_ASSERT_EQUAL(408U, Answer.Status_);
      CPPUNIT_ASSERT_EQUAL(std::string("153 RequestTimeout"),
                           Answer.ResultCode_);
    }
    CPPUNIT_ASSERT(Server.requests().empty());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MalformedRequests);

} // namespace
