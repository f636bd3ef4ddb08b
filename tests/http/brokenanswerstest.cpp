#include "http/frontend.h"
#include "http/gate.h"
#include "http/scriptedserver.h"
#include "platform/dialect.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

using model::AnswerFault;
using Request = ScriptedServer::Request;

constexpr unsigned KeptBytes = 65536;
const std::string Id = "Attempt-Id: a1\r\n";
const std::string Signed = Id + "Response-Signature: s\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string Body = "Content-Length: 5\r\n\r\nhello";

/// Returns a whole answer of five bytes, with this status line.
std::string withStatus(const std::string &Line) {
  return Line + "\r\n" + Signed + Body;
}

/// Returns a whole answer of five bytes, with these lines ahead of its length.
std::string withLines(const std::string &Lines) {
  return "HTTP/1.1 200 OK\r\n" + Signed + Lines + Body;
}

/// Returns an answer with these lines, which determine its framing, and bytes.
std::string framed(const std::string &Lines, const std::string &Bytes) {
  return "HTTP/1.1 200 OK\r\n" + Signed + Lines + "\r\n" + Bytes;
}

std::string bytes(std::initializer_list<char> List) { return List; }

/// Answers that are none, by the kind of fault that is counted for them.
using Answers = std::vector<std::string>;

Answers withWrongStatus() {
  return {withStatus("HTTP/1.1 000 Trouble"), withStatus("HTTP/1.1 001 OK"),
          withStatus("HTTP/1.1 042 OK"),      withStatus("HTTP/1.1 099 OK"),
          withStatus("HTTP/1.1 600 Late"),    withStatus("HTTP/1.1 999 Late")};
}

Answers withWrongStatusLine() {
  return {withStatus("HTTP/1.1 20 OK"),      withStatus("HTTP/1.1 2000 OK"),
          withStatus("HTTP/1.1 2x0 OK"),     withStatus("HTTP/1.1 -20 OK"),
          withStatus("HTTP/1.1  200 OK"),    withStatus("HTTP/2.0 200 OK"),
          withStatus("HTTQ/1.1 200 OK"),     withStatus("200 OK"),
          withStatus("HTTP/1.1 200 O\x01K"), withStatus("HTTP/1.1 200 O\rK")};
}

Answers withWrongLines() {
  Answers Out{
      withLines("no colon\r\n"),
      withLines(": no name\r\n"),
      withLines("X-A: a\rb\r\n"),
      withLines("X-A: a\nb\r\n"),
      withLines("X-A: " + bytes({'a', 0}) + "\r\n"),
      withLines("X-A: \x7f\r\n"),
      framed("Content-Length : 5\r\n", "hello"),
      framed("Content Length: 5\r\n", "hello"),
      framed("Transfer-Encoding : chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"),
      "HTTP/1.1 200 OK\r\n X-A: before any field\r\n" + Signed + Body};
  for (const char C :
       bytes({0,   1,   7,   8,   9,   10,  11,  12,  13,  27,  31,    ' ',
              '"', '(', ',', '/', ';', '=', '@', '[', '{', 127, '\xff'}))
    Out.push_back(withLines("X-" + bytes({C}) + "A: 1\r\n"));
  return Out;
}

Answers withWrongFraming() {
  return {framed("Content-Length: 5\r\nContent-Length: 6\r\n", "hello"),
          framed("Content-Length: 5, 6\r\n", "hello"),
          framed("Content-Length: +5\r\n", "hello"),
          framed("Content-Length: 5x\r\n", "hello"),
          framed("Content-Length: -5\r\n", "hello"),
          framed("Content-Length: \r\n", "hello"),
          framed("Content-Length: 18446744073709551621\r\n", "hello"),
          framed("Content-Length: 5\r\n" + Chunked, "0\r\n\r\n"),
          framed(Chunked + "Content-Length: 5\r\n", "0\r\n\r\n"),
          framed("Transfer-Encoding: gzip\r\n", "hello"),
          framed("Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n"),
          framed(Chunked + Chunked, "0\r\n\r\n"),
          "HTTP/1.0 200 OK\r\n" + Signed + Chunked + "\r\n0\r\n\r\n"};
}

Answers withWrongChunks() {
  return {framed(Chunked, "x\r\nhello\r\n0\r\n\r\n"),
          framed(Chunked, "-5\r\nhello\r\n0\r\n\r\n"),
          framed(Chunked, "5\r\nhello0\r\n\r\n"),
          framed(Chunked, "5 5\r\nhello\r\n0\r\n\r\n"),
          framed(Chunked, "11111111111111111\r\nhello\r\n0\r\n\r\n"),
          framed(Chunked, "5\r\nhello\r\n0\r\nX A: 1\r\n\r\n"),
          framed(Chunked, "5\r\nhello\r\n0\r\nX-A: \x01\r\n\r\n"),
          framed(Chunked, "5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n")};
}

Answers withWrongInterim() {
  const std::string Sound = withLines("");
  return {"HTTP/1.1 099 Continue\r\n\r\n" + Sound,
          "HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\n" + Sound,
          "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nhi" + Sound,
          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + Sound};
}

/// Answers that few servers send, but that are sound: all have the body "hello"
/// and the field X-A or none.
Answers oddAnswers() {
  const std::string InChunks = "5\r\nhello\r\n0\r\n\r\n";
  return {withStatus("HTTP/1.1 200 "),
          withStatus("HTTP/1.1 200 Tr\xc3\xa8s bien\t!"),
          withStatus("HTTP/1.1 299 Odd"),
          withStatus("HTTP/1.0 200 OK"),
          withLines("x-a:1\r\n"),
          withLines("X-A: \t 1 \t\r\n"),
          withLines("X-A:\r\n"),
          withLines("X-A: 1\r\n 2\r\n"),
          withLines("X-A: \xc3\xa8\r\nX-A: 2\r\n"),
          withLines("X!#$%&'*+-.^_`|~9: 1\r\n"),
          withLines("Connection: keep-alive, , x\r\n"),
          withLines("Content-Length: 5\r\n"),
          withLines(Id),
          framed("CONTENT-LENGTH: 5, 5\r\n", "hello"),
          framed("Content-Length: 0005\r\n", "hello"),
          framed("transfer-encoding: CHUNKED\r\n", InChunks),
          framed(Chunked, "05;a=1;b=\"c;d\"\r\nhello\r\n000;e\r\n\r\n"),
          framed(Chunked, "2\r\nhe\r\n3 ;a\r\nllo\r\n0\r\nX-B: 1\r\n\r\n"),
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
          "Link: </a>; rel=preload\r\n\r\n" +
              withLines("")};
}

std::string call(const std::string &Method, const std::string &Path) {
  return request(Method, Path, Id, Method == "POST" ? "x" : "");
}

/// A server with one answer to all requests, and callers of its only process.
class OneServer {
public:
  explicit OneServer(const std::string &Answer, unsigned Kept = KeptBytes)
      : Server_([Answer](const Request &) { return Answer; }),
        Front_({{"cat-1", Server_.port()}}, limits(Kept), 1,
               platform::platformDialect()) {}

  static adapters::HttpLimits limits(unsigned Kept) {
    adapters::HttpLimits Out;
    Out.KeptAnswerBytes_ = Kept;
    return Out;
  }

  RawCaller::Answer ask(const std::string &Request) {
    return RawCaller(Front_.port()).call(Request);
  }

  ScriptedServer Server_;
  FrontEnd Front_;
};

/// Answers of a server that break the protocol. Guards against a caller who
/// gets one of them as an answer.
class BrokenAnswer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenAnswer);
  CPPUNIT_TEST(isRefusedForAStatusThatIsNone);
  CPPUNIT_TEST(isRefusedForItsStatusLine);
  CPPUNIT_TEST(isRefusedForABlankOrAControlByteInAName);
  CPPUNIT_TEST(isRefusedForItsFraming);
  CPPUNIT_TEST(isRefusedForItsChunksOrTrailers);
  CPPUNIT_TEST(isRefusedForItsInterimAnswers);
  CPPUNIT_TEST(isReplacedByAnotherServersAnswerToASafeCall);
  CPPUNIT_TEST(isNotWaitedForWhenAHedgeGetsIt);
  CPPUNIT_TEST(isRefusedInEachPlaceOfAPipeline);
  CPPUNIT_TEST(isNoReportWhenAProbeGetsIt);
  CPPUNIT_TEST(isNoPromiseThatTheCallDidNotRun);
  CPPUNIT_TEST(isRefusedWithAnEmptyProof);
  CPPUNIT_TEST(isRefusedWhenItNamesTwoCalls);
  CPPUNIT_TEST(isCountedByItsServerAndItsFault);
  CPPUNIT_TEST(isToldFromASoundOneThatIsOdd);
  CPPUNIT_TEST_SUITE_END();

  /// A call that must not be repeated gets 502, or a part of the answer that
  /// does not look whole, and the connection is dropped.
  static void checkRefused(const Answers &Broken) {
    for (const std::string &Answer : Broken)
      for (const unsigned Kept : {0U, KeptBytes}) {
        OneServer Played(Answer, Kept);
        const auto Got = Played.ask(call("POST", "/licence"));
        const bool IsCutOff = Kept == 0 && !Got.Whole_;
        CPPUNIT_ASSERT_MESSAGE(Answer, IsCutOff || Got.Status_ == 502);
        CPPUNIT_ASSERT_MESSAGE(
            Answer, eventually([&] { return Played.Server_.ended() > 0; }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), Played.Server_.requests().size());
      }
  }

public:
  void isRefusedForAStatusThatIsNone() { checkRefused(withWrongStatus()); }

  void isRefusedForItsStatusLine() { checkRefused(withWrongStatusLine()); }

  void isRefusedForABlankOrAControlByteInAName() {
    checkRefused(withWrongLines());
  }

  void isRefusedForItsFraming() { checkRefused(withWrongFraming()); }

  void isRefusedForItsChunksOrTrailers() { checkRefused(withWrongChunks()); }

  void isRefusedForItsInterimAnswers() { checkRefused(withWrongInterim()); }

  void isReplacedByAnotherServersAnswerToASafeCall() {
    for (const std::string &Answer : withWrongStatus()) {
      ScriptedServer Sound([](const Request &) { return withLines(""); });
      ScriptedServer Broken([&](const Request &) { return Answer; });
      FrontEnd Front({{"cat-1", Broken.port()}, {"cat-2", Sound.port()}},
                     OneServer::limits(KeptBytes), 1,
                     platform::platformDialect());
      CPPUNIT_ASSERT(eventually([&] {
        const auto Got = RawCaller(Front.port()).call(call("GET", "/search"));
        CPPUNIT_ASSERT_EQUAL(200U, Got.Status_);
        return !Broken.requests().empty();
      }));
    }
  }

  void isNotWaitedForWhenAHedgeGetsIt() {
    constexpr unsigned WarmCalls = 200;
    Gate Slow;
    std::atomic<unsigned> Attempts{0};
    const auto Script = [&](const Request &Seen) {
      const bool IsHedged =
          Seen.Head_.find("/search/slow") != std::string::npos;
      if (IsHedged && ++Attempts > 1)
        return withWrongStatus().front();
      if (IsHedged)
        Slow.pass();
      return withLines("");
    };
    ScriptedServer One(Script);
    ScriptedServer Two(Script);
    FrontEnd Front({{"cat-1", One.port()}, {"cat-2", Two.port()}},
                   OneServer::limits(KeptBytes), 1,
                   platform::platformDialect());
    Front.changePreset([](model::Preset &Preset) { Preset.Hedge_.Ratio_ = 1; });
    RawCaller Caller(Front.port());
    for (unsigned I = 0; I < WarmCalls; ++I)
      Caller.call(call("GET", "/search"));
    Caller.send(call("GET", "/search/slow"));
    CPPUNIT_ASSERT(eventually(
        [&] { return !Front.traffic().stats().FaultyAnswers_.empty(); }));
    Slow.open();
    const auto Got = Caller.read();
    CPPUNIT_ASSERT_EQUAL(200U, Got.Status_);
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), Got.Body_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Front.traffic().stats().Hedges_);
  }

  void isRefusedInEachPlaceOfAPipeline() {
    ScriptedServer Server([](const Request &Seen) {
      return Seen.Head_.find("/search/2") == std::string::npos
                 ? withLines("")
                 : withStatus("HTTP/1.1 000 Trouble");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1,
                   platform::platformDialect());
    Front.changePreset(
        [](model::Preset &Preset) { Preset.Retry_.MaxAttempts_ = 1; });
    RawCaller Caller(Front.port());
    Caller.send(call("GET", "/search/1") + call("GET", "/search/2") +
                call("GET", "/search/3"));
    for (const unsigned Status : {200U, 502U, 200U})
      CPPUNIT_ASSERT_EQUAL(Status, Caller.read().Status_);
  }

  void isNoReportWhenAProbeGetsIt() {
    OneServer Played("HTTP/1.1 000 Trouble\r\nServer-Load: 0,0,4\r\n" + Body);
    Played.Front_.changePreset([](model::Preset &Preset) {
      Preset.Measuring_.ProbesPerSecond_ = 1000;
    });
    CPPUNIT_ASSERT(eventually([&] {
      return Played.Front_.traffic().stats().ProbesFailed_ > 0 &&
             Played.Server_.ended() > 0;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Played.Front_.traffic().stats().FaultyAnswers_.count(
                             {"cat-1", AnswerFault::Status}));
  }

  /// Guards against a refusal that promises that the call did not run, taken
  /// from an answer that is none.
  void isNoPromiseThatTheCallDidNotRun() {
    for (const std::string Status : {"000", "042", "600"}) {
      OneServer Played("HTTP/1.1 " + Status + " Busy\r\nNot-Executed: 1\r\n" +
                       Id + Body);
      CPPUNIT_ASSERT_EQUAL(502U, Played.ask(call("POST", "/licence")).Status_);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Played.Server_.requests().size());
    }
  }

  void isRefusedWithAnEmptyProof() {
    checkRefused(
        {"HTTP/1.1 200 OK\r\n" + Id + "Response-Signature: \r\n" + Body});
  }

  /// Guards against an answer of which only the last id is looked at.
  void isRefusedWhenItNamesTwoCalls() {
    checkRefused(
        {"HTTP/1.1 200 OK\r\nAttempt-Id: b2\r\n" + Signed + Body,
         "HTTP/1.1 200 OK\r\n" + Signed + "Attempt-Id: b2\r\n" + Body});
  }

  void isCountedByItsServerAndItsFault() {
    for (const auto &[Answer, Fault] : std::map<std::string, AnswerFault>{
             {withWrongStatus().back(), AnswerFault::Status},
             {withWrongStatusLine().front(), AnswerFault::StatusLine},
             {withWrongLines().back(), AnswerFault::FieldLine},
             {withWrongFraming().back(), AnswerFault::Framing},
             {withWrongChunks().front(), AnswerFault::Chunk},
             {withWrongInterim().back(), AnswerFault::Interim},
             {withLines("X-A: " + std::string(KeptBytes, 'a') + "\r\n"),
              AnswerFault::TooLong},
             {"HTTP/1.1 200 OK\r\n" + Id + Body, AnswerFault::NoProof},
             {"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n" + Body,
              AnswerFault::WrongCall},
             {framed("Content-Length: 9\r\n", "hello"),
              AnswerFault::BrokenOff}}) {
      OneServer Played(Answer);
      Played.Server_.closeAfterAnswer();
      Played.ask(call("POST", "/licence"));
      const auto Counted = Played.Front_.traffic().stats().FaultyAnswers_;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Answer, std::size_t(1), Counted.size());
      const auto &[Key, Count] = *Counted.begin();
      CPPUNIT_ASSERT_EQUAL(std::string("cat-1"), Key.first);
      CPPUNIT_ASSERT_MESSAGE(Answer, Key.second == Fault);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Count);
    }
  }

  void isToldFromASoundOneThatIsOdd() {
    for (const std::string &Answer : oddAnswers())
      for (const unsigned Kept : {0U, KeptBytes}) {
        OneServer Played(Answer, Kept);
        const auto Got = Played.ask(call("POST", "/licence"));
        CPPUNIT_ASSERT_MESSAGE(Answer, Got.Status_ >= 200 && Got.Status_ < 300);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Answer, std::string("hello"), Got.Body_);
        CPPUNIT_ASSERT_MESSAGE(Answer, Got.Whole_);
      }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswer);

} // namespace
