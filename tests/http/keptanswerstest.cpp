#include "http/frontend.h"
#include "http/scriptedserver.h"
#include "platform/dialect.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

using Request = ScriptedServer::Request;

constexpr unsigned KeptBytes = 65536;

adapters::HttpLimits limitsWithKeptAnswers() {
  adapters::HttpLimits Out;
  Out.KeptAnswerBytes_ = KeptBytes;
  return Out;
}

std::string attemptIdOf(const Request &Seen) {
  const std::string Name = "Attempt-Id: ";
  const std::size_t At = Seen.Head_.find(Name) + Name.size();
  return Seen.Head_.substr(At, Seen.Head_.find('\r', At) - At);
}

/// Returns an answer as the platform's backend servers send it.
std::string signedAnswer(const std::string &Id, const std::string &Body,
                         const std::string &Status = "200 OK") {
  return ScriptedServer::answer(
      Body, "Attempt-Id: " + Id + "\r\nResponse-Signature: s." + Id + "\r\n",
      Status);
}

std::string search(const std::string &Id) {
  return request("GET", "/search", "Attempt-Id: " + Id + "\r\n");
}

std::string licence(const std::string &Id) {
  return request("POST", "/licence", "Attempt-Id: " + Id + "\r\n", "x");
}

class KeptAnswer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeptAnswer);
  CPPUNIT_TEST(isRetriedWhenItBreaksOff);
  CPPUNIT_TEST(isRetriedWhenItIsAServerError);
  CPPUNIT_TEST(isPassedOnWhenNoRetryIsAllowed);
  CPPUNIT_TEST(isStreamedWhenItExceedsTheLimit);
  CPPUNIT_TEST(isNotRetriedForANonIdempotentCall);
  CPPUNIT_TEST(isWholeWhenTheCallerReadsItAfterTheCallHasEnded);
  CPPUNIT_TEST_SUITE_END();

public:
  void isRetriedWhenItBreaksOff() {
    ScriptedServer Server([](const Request &Seen) {
      const std::string Whole = signedAnswer(attemptIdOf(Seen), "found");
      return Seen.Number_ == 1 ? Whole.substr(0, Whole.size() - 2) : Whole;
    });
    Server.closeAfterAnswer();
    FrontEnd Front({{"cat-1", Server.port()}}, limitsWithKeptAnswers(), 1,
                   platform::platformDialect());
    const auto Answer = RawCaller(Front.port()).call(search("a"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
    CPPUNIT_ASSERT_EQUAL(std::string("found"), Answer.Body_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Server.requests().size());
  }

  void isRetriedWhenItIsAServerError() {
    ScriptedServer Server([](const Request &Seen) {
      return Seen.Number_ == 1 ? signedAnswer(attemptIdOf(Seen), "",
                                              "500 Internal Server Error")
                               : signedAnswer(attemptIdOf(Seen), "found");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, limitsWithKeptAnswers(), 1,
                   platform::platformDialect());
    const auto Answer = RawCaller(Front.port()).call(search("a"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
  }

  void isPassedOnWhenNoRetryIsAllowed() {
    ScriptedServer Server([](const Request &Seen) {
      return signedAnswer(attemptIdOf(Seen), "why",
                          "500 Internal Server Error");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, limitsWithKeptAnswers(), 1,
                   platform::platformDialect());
    Front.changePreset([](model::Preset &Preset) {
      for (model::Route &Route : Preset.Routes_)
        Route.MaxAttempts_ = 1;
    });
    RawCaller Caller(Front.port());
    CPPUNIT_ASSERT(eventually([&] {
      const std::size_t Before = Server.requests().size();
      const auto Answer = Caller.call(search("a"));
      CPPUNIT_ASSERT_EQUAL(500U, Answer.Status_);
      CPPUNIT_ASSERT_EQUAL(std::string("why"), Answer.Body_);
      return Server.requests().size() == Before + 1; // the preset is in force
    }));
  }

  void isStreamedWhenItExceedsTheLimit() {
    const std::string Body(3 * KeptBytes, 'b');
    ScriptedServer Server([&](const Request &Seen) {
      return signedAnswer(attemptIdOf(Seen), Body);
    });
    FrontEnd Front({{"cat-1", Server.port()}}, limitsWithKeptAnswers(), 1,
                   platform::platformDialect());
    const auto Answer = RawCaller(Front.port()).call(search("a"));
    CPPUNIT_ASSERT(Answer.Whole_);
    CPPUNIT_ASSERT(Body == Answer.Body_);
  }

  void isNotRetriedForANonIdempotentCall() {
    ScriptedServer Server([](const Request &Seen) {
      const std::string Whole = signedAnswer(attemptIdOf(Seen), "issued");
      return Whole.substr(0, Whole.size() - 2);
    });
    Server.closeAfterAnswer();
    FrontEnd Front({{"cat-1", Server.port()}}, limitsWithKeptAnswers(), 1,
                   platform::platformDialect());
    const auto Answer = RawCaller(Front.port()).call(licence("a"));
    CPPUNIT_ASSERT_EQUAL(502U, Answer.Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Server.requests().size());
  }

  void isWholeWhenTheCallerReadsItAfterTheCallHasEnded() {
    std::string Long;
    Long.resize(16777216, 'b'); // more than the socket buffers hold
    ScriptedServer Server([&](const Request &Seen) {
      return signedAnswer(attemptIdOf(Seen), Long);
    });
    adapters::HttpLimits Limits;
    Limits.KeptAnswerBytes_ = static_cast<unsigned>(Long.size());
    FrontEnd Front({{"cat-1", Server.port()}}, Limits, 1,
                   platform::platformDialect());
    RawCaller Caller(Front.port());
    Caller.send(search("a"));
    CPPUNIT_ASSERT(eventually([&] {
      return Server.answers() == 1 && Front.traffic().stats().InFlight_ == 0;
    }));
    const auto Answer = Caller.read();
    CPPUNIT_ASSERT(Answer.Whole_);
    CPPUNIT_ASSERT(Long == Answer.Body_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeptAnswer);

class PlatformAnswer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformAnswer);
  CPPUNIT_TEST(isIncompleteWithoutItsSignature);
  CPPUNIT_TEST(isFoundAfterADuplicateAnswerToAnEarlierCall);
  CPPUNIT_TEST(mayEndWhenTheConnectionCloses);
  CPPUNIT_TEST(isRetriedWhenAnotherServerHasTheAddress);
  CPPUNIT_TEST(hasRetryAfterWhenTheCallDidNotRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void isIncompleteWithoutItsSignature() {
    ScriptedServer Server([](const Request &Seen) {
      return ScriptedServer::answer(
          "issued", "Attempt-Id: " + attemptIdOf(Seen) + "\r\n");
    });
    FrontEnd Front({{"cat-1", Server.port()}}, limitsWithKeptAnswers(), 1,
                   platform::platformDialect());
    CPPUNIT_ASSERT_EQUAL(502U,
                         RawCaller(Front.port()).call(licence("a")).Status_);
  }

  /// The server repeats its answer to the earlier call ahead of the next one.
  /// The duplicate must be skipped: treating it as a fault of the connection
  /// would lose the answer of a call that must not run twice.
  void isFoundAfterADuplicateAnswerToAnEarlierCall() {
    std::string Earlier;
    ScriptedServer Server([&](const Request &Seen) {
      const std::string Own =
          signedAnswer(attemptIdOf(Seen), "for " + attemptIdOf(Seen));
      return std::exchange(Earlier, Own) + Own;
    });
    FrontEnd Front({{"cat-1", Server.port()}}, limitsWithKeptAnswers(), 1,
                   platform::platformDialect());
    RawCaller Caller(Front.port());
    for (const std::string Id : {"a", "b", "c"})
      CPPUNIT_ASSERT_EQUAL("for " + Id, Caller.call(licence(Id)).Body_);
  }

  void mayEndWhenTheConnectionCloses() {
    ScriptedServer Server([](const Request &Seen) {
      return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptIdOf(Seen) +
             "\r\nResponse-Signature: s\r\n\r\nuntil the end";
    });
    Server.closeAfterAnswer();
    FrontEnd Front({{"cat-1", Server.port()}}, limitsWithKeptAnswers(), 1,
                   platform::platformDialect());
    const auto Answer = RawCaller(Front.port()).call(licence("a"));
    CPPUNIT_ASSERT_EQUAL(200U, Answer.Status_);
    CPPUNIT_ASSERT_EQUAL(std::string("until the end"), Answer.Body_);
  }

  void isRetriedWhenAnotherServerHasTheAddress() {
    ScriptedServer Other([](const Request &Seen) {
      CPPUNIT_ASSERT(Seen.Head_.find("Expected-Instance: cat-1") !=
                     std::string::npos);
      return ScriptedServer::answer("", "", "421 Misdirected Request");
    });
    ScriptedServer Serving([](const Request &Seen) {
      return signedAnswer(attemptIdOf(Seen), "issued");
    });
    FrontEnd Front({{"cat-1", Other.port()}, {"cat-2", Serving.port()}},
                   limitsWithKeptAnswers(), 1, platform::platformDialect());
    RawCaller Caller(Front.port());
    for (int I = 0; I < 8; ++I)
      CPPUNIT_ASSERT_EQUAL(200U,
                           Caller.call(licence(std::to_string(I))).Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Other.requests().size());
  }

  void hasRetryAfterWhenTheCallDidNotRun() {
    adapters::HttpLimits Limits = limitsWithKeptAnswers();
    Limits.RetryAfter_ = model::milliseconds(50);
    ScriptedServer Full([](const Request &) {
      return ScriptedServer::answer("", "Not-Executed: 1\r\n",
                                    "503 Service Unavailable");
    });
    FrontEnd Front({{"cat-1", Full.port()}}, Limits, 1,
                   platform::platformDialect());
    const auto Answer = RawCaller(Front.port()).call(licence("a"));
    CPPUNIT_ASSERT_EQUAL(503U, Answer.Status_);
    CPPUNIT_ASSERT(Answer.Head_.find("Retry-After: 0.050") !=
                   std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformAnswer);

} // namespace
