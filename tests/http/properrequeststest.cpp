#include "adapters/httprequestreader.h"
#include "http/frontend.h"
#include "http/scriptedserver.h"
#include "platform/configurationdocument.h"
#include "platform/dialect.h"
#include "support/piecewisereader.h"
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

using namespace cumingauge;
using namespace cumingauge::test;
using Json = nlohmann::json;
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
  CPPUNIT_TEST(isNotDeniedByAPartOfAConfiguration);
  CPPUNIT_TEST(isNotTooLongForAConfigurationWithoutALimit);
  CPPUNIT_TEST(isNotDeniedByAnAnswerThatNamesNoCall);
  CPPUNIT_TEST(hasTheLimitsThatAreInForceWhenItArrives);
  CPPUNIT_TEST(isReadInEachFormThatTheStandardAllows);
  CPPUNIT_TEST(isNotReadInAFormThatServersMayReadDifferently);
  CPPUNIT_TEST(isReadInChunksAndPiecesOfAnySize);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<ScriptedServer> Server_;

  static std::string proved(const std::string &Status) {
    return ScriptedServer::answer("done", Id + "Response-Signature: s1\r\n",
                                  Status);
  }

  static Json makeRoute(const std::string &Prefix, const std::string &Kind) {
    return {{"name", Prefix}, {"host", "cumingauge"}, {"prefix", Prefix},
            {"kind", Kind},   {"timeout-ms", 20000},  {"service", "catalogue"}};
  }

  static Json makeDocument() {
    return {
        {"version", 7},
        {"routes",
         {makeRoute("/search/", "safe"), makeRoute("/licence/", "unsafe")}}};
  }

  static void apply(FrontEnd &Front, const Json &Document) {
    model::Problems Found;
    Front.changePreset([&](model::Preset &Preset) {
      const std::string Name = Preset.Name_;
      Preset =
          platform::readConfiguration(Document.dump(), Preset, Found)->Preset_;
      Preset.Name_ = Name;
    });
  }

  std::unique_ptr<FrontEnd> start() {
    return std::make_unique<FrontEnd>(
        std::vector<FrontEnd::Target>{{"cat-1", Server_->port()}},
        adapters::HttpLimits{}, 1, platform::platformDialect());
  }

  static void assertAnswered(const std::string &ResultCode, FrontEnd &Front,
                             const std::string &Bytes) {
    CPPUNIT_ASSERT_EQUAL(ResultCode,
                         RawCaller(Front.port()).call(Bytes).ResultCode_);
  }

public:
  void setUp() override {
    Server_ = std::make_unique<ScriptedServer>(
        [](const Request &) { return proved("200 OK"); });
  }

  void tearDown() override { Server_.reset(); }

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
    CPPUNIT_ASSERT(Server_->requests().empty());
  }

  void isNotDeniedByAPartOfAConfiguration() {
    const auto Front = start();
    const std::string Added = request("GET", "/added/7", Id);
    Json Document = makeDocument();
    apply(*Front, Document);
    assertAnswered("154 RequestNoRoute", *Front, Added);
    Document["routes"].push_back({{"host", "cumingauge"},
                                  {"prefix", "/added/"},
                                  {"service", Json::array()}});
    apply(*Front, Document);
    assertAnswered(Stale, *Front, Added);
    assertAnswered("0 Ok", *Front, request("GET", "/search/7", Id));
    Document = makeDocument();
    Document["tenants"] = {{{"name", "north"}, {"api-keys", {1}}}};
    apply(*Front, Document);
    assertAnswered(
        Stale, *Front,
        request("GET", "/search/7", Id + "Authorization: Token 1\r\n"));
  }

  void isNotTooLongForAConfigurationWithoutALimit() {
    std::string Upload;
    Upload.resize(17000000, 'u');
    const auto Front = start();
    for (const Json &Limits :
         {Json(nullptr), Json::object(), Json{{"max-body-bytes", "17"}}}) {
      Json Document = makeDocument();
      Document["limits"] = Limits;
      apply(*Front, Document);
      assertAnswered("0 Ok", *Front, request("POST", "/licence/7", Id, Upload));
    }
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

  void isNotDeniedByAnAnswerThatNamesNoCall() {
    std::string Answer;
    ScriptedServer Server([&](const Request &) { return Answer; });
    FrontEnd Front({{"cat-1", Server.port()}}, {}, 1,
                   platform::platformDialect());
    const std::string Post = request("POST", "/licence/7", Id, "x");
    const std::string Refused = "133 UnknownAnswerMalformed";
    const std::string Proof = "Response-Signature: s1\r\n";
    for (const std::string Status :
         {"301 Moved", "400 Bad Request", "401 Unauthorized", "404 Not Found",
          "408 Timeout", "413 Too Large", "429 Too Many"}) {
      const std::string Code = Status.substr(0, 3);
      const bool IsPromise = Code == "408" || Code == "429";
      Answer = ScriptedServer::answer("done", "", Status);
      assertAnswered(Refused, Front, Post);
      Answer = ScriptedServer::answer("done", Proof, Status);
      assertAnswered(Refused, Front, Post);
      Answer = ScriptedServer::answer("done", Id, Status);
      assertAnswered(IsPromise ? Refused : "0 Ok", Front, Post);
      Answer = proved(Status);
      assertAnswered("0 Ok", Front, Post);
    }
    for (const char *Status : {"400 No Id", "421 Misdirected", "429 Full"}) {
      Answer = ScriptedServer::answer("", "Not-Executed: 1\r\n", Status);
      const auto Refusal =
          RawCaller(Front.port()).call(request("POST", "/licence/7", Id, "x"));
      CPPUNIT_ASSERT_EQUAL(503U, Refusal.Status_);
    }
  }

  void hasTheLimitsThatAreInForceWhenItArrives() {
    const std::string Long = "X-A: " + std::string(4000, 'a') + "\r\n";
    const std::string LongRequest = request("GET", "/search/7", Id + Long);
    adapters::HttpLimits Limits;
    Limits.HeaderBytes_ = 1000;
    FrontEnd Front({{"cat-1", Server_->port()}}, Limits, 1,
                   platform::platformDialect(), /*HasView=*/false);
    const auto SetLimit = [&](unsigned Bytes) {
      Front.changePreset(
          [&](model::Preset &Preset) { Preset.Callers_.HeaderBytes_ = Bytes; });
    };
    RawCaller Early(Front.port());
    Early.send(LongRequest);
    CPPUNIT_ASSERT(eventually(
        [&] { return Front.traffic().stats().CallerConnections_ == 1; }));
    SetLimit(6000);
    CPPUNIT_ASSERT_EQUAL(200U, Early.read().Status_);
    SetLimit(1000);
    RawCaller Kept(Front.port());
    CPPUNIT_ASSERT_EQUAL(200U,
                         Kept.call(request("GET", "/search/7", Id)).Status_);
    SetLimit(6000);
    CPPUNIT_ASSERT_EQUAL(200U, Kept.call(LongRequest).Status_);
  }

  void isReadInEachFormThatTheStandardAllows() {
    const std::string Fields = "Host: cumingauge\r\n" + Id;
    const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string Get = "GET /search/7 HTTP/1.1\r\n" + Fields;
    const std::string Post = "POST /licence/7 HTTP/1.1\r\n" + Fields;
    const std::vector<std::string> Proper = {
        Get + "\r\n",
        "\r\n" + Get + "\r\n",
        "GET http://cumingauge/search/7?a=b HTTP/1.1\r\n" + Fields + "\r\n",
        "GET /search/7 HTTP/1.1\r\nHost: CuminGauge:80\r\n" + Id + "\r\n",
        Get + "X-A:\r\nX-B: \t \r\nX-C:  a b \t\r\n\r\n",
        Get + "Content-Length: 0\r\n\r\n",
        Get + "Content-Length: 1\r\n\r\nx",
        Get + "Deadline-Milliseconds:   800  \r\n\r\n",
        Get + "Deadline-Milliseconds: 800.5\r\n\r\n",
        Get + "Deadline-Milliseconds: 0800\r\n\r\n",
        Get + "Connection: keep-alive, X-A\r\nX-A: 1\r\n\r\n",
        Post + "Content-Length: 1, 1\r\n\r\nx",
        Post + "Expect: 100-Continue\r\nContent-Length: 1\r\n\r\nx",
        Post + Chunked + "0\r\n\r\n",
        Post + Chunked + "00000001\r\nx\r\n000\r\n\r\n",
        Post + Chunked + "A\r\n0123456789\r\na\r\n0123456789\r\n0\r\n\r\n",
        Post + Chunked + "1;a;b=c;d=\"e f\"\r\nx\r\n0;z\r\n\r\n",
        Post + Chunked + "1\r\nx\r\n0\r\nX-A: 1\r\nX-B:\r\n\r\n",
        Post + "Transfer-Encoding:  Chunked \r\n\r\n0\r\n\r\n"};
    std::string Refused;
    for (const std::string &Bytes : Proper)
      if (!isReadWhereverItIsCut(Bytes) || statusOf(Bytes) != 200)
        Refused += Bytes;
    CPPUNIT_ASSERT_EQUAL(std::string(), Refused);
  }

  void isReadInChunksAndPiecesOfAnySize() {
    std::mt19937 Random(20261207);
    // Sizes of all magnitudes.
    const auto Draw = [&] {
      return 1 + Random() % (std::size_t(1) << (Random() % 18));
    };
    for (int Run = 0; Run < 300; ++Run) {
      std::string Whole =
          request("POST", "/licence/7", Id + "Transfer-Encoding: chunked\r\n");
      std::string Body;
      for (std::size_t Chunks = Random() % 20; Chunks > 0; --Chunks) {
        std::ostringstream Size;
        const std::string Chunk(Draw(), '\r');
        Size << std::hex << Chunk.size();
        Whole += Size.str() + "\r\n" + Chunk + "\r\n";
        Body += Chunk;
      }
      Whole += "0\r\n\r\n";
      testing::PiecewiseReader<adapters::RequestReader> Reader;
      auto Last = adapters::ReadStep::NeedMore;
      for (std::size_t Sent = 0; Sent < Whole.size();) {
        const std::size_t Piece = std::min(Draw(), Whole.size() - Sent);
        Last = Reader.feed(std::string_view(Whole).substr(Sent, Piece));
        Sent += Piece;
      }
      CPPUNIT_ASSERT(Last == adapters::ReadStep::End);
      CPPUNIT_ASSERT(Body == Reader.body());
    }
  }

  void isNotReadInAFormThatServersMayReadDifferently() {
    for (const std::string Host :
         {"cumingauge?a=", "u@cumingauge", "cumingauge#a", ""})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Host, 400U,
                                   statusOf("GET http://" + Host +
                                            "/search/7 HTTP/1.1\r\nHost: " +
                                            Host + "\r\n" + Id + "\r\n"));
    CPPUNIT_ASSERT(Server_->requests().empty());
  }

private:
  static bool isReadWhereverItIsCut(const std::string &Bytes) {
    for (std::size_t Cut = 1; Cut <= Bytes.size(); ++Cut) {
      testing::PiecewiseReader<adapters::RequestReader> Reader;
      auto Last = Reader.feed(Bytes.substr(0, Cut));
      if (Cut < Bytes.size())
        Last = Reader.feed(Bytes.substr(Cut));
      if (Last != adapters::ReadStep::End)
        return false;
    }
    return true;
  }

  unsigned statusOf(const std::string &Bytes) {
    const auto Front = start();
    RawCaller Caller(Front->port());
    const auto Answer = Caller.call(Bytes);
    return Answer.Status_ == 100 ? Caller.read().Status_ : Answer.Status_;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ProperRequest);

} // namespace
