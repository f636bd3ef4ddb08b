#include "http/frontend.h"
#include "http/scriptedserver.h"
#include "platform/configurationdocument.h"
#include "platform/dialect.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

using namespace cumingauge;
using namespace cumingauge::test;
using Json = nlohmann::json;

namespace {

using Request = ScriptedServer::Request;

const std::string NorthKey = "Authorization: Token north-key-1\r\n";
const std::string SouthKey = "Authorization: Token south-key-1\r\n";

Json makeRoute(const std::string &Prefix, const std::string &Kind,
               bool IsPublic) {
  return {{"name", Prefix}, {"host", "cumingauge"},   {"prefix", Prefix},
          {"kind", Kind},   {"timeout-ms", 5000},     {"priority", 1},
          {"attempts", 2},  {"service", "catalogue"}, {"public", IsPublic}};
}

/// Returns a configuration with two workspaces.
Json makeDocument() {
  return {{"version", 7},
          {"routes",
           {makeRoute("/search/", "safe", false),
            makeRoute("/licence/", "unsafe", false),
            makeRoute("/open/", "safe", true)}},
          {"services", Json::array()},
          {"limits", {{"max-body-bytes", 4000000}}},
          {"tenants",
           {{{"name", "north"}, {"api-keys", {"north-key-1", "north-key-2"}}},
            {{"name", "south"}, {"api-keys", {"south-key-1"}}}}}};
}

/// Returns an answer that the platform's protocol accepts as a success.
std::string answerTo(const Request &Seen, const std::string &Body = "done",
                     const std::string &Status = "200 OK",
                     const std::string &Fields = "") {
  const std::string Name = "Attempt-Id: ";
  const std::size_t Start = Seen.Head_.find(Name);
  const std::string Id =
      Start == std::string::npos
          ? ""
          : Seen.Head_.substr(Start, Seen.Head_.find('\r', Start) - Start);
  return ScriptedServer::answer(
      Body, Id + "\r\nResponse-Signature: s1\r\n" + Fields, Status);
}

/// Returns the values of a field of a request, each with "|" in front.
std::string valuesOf(const Request &Seen, const std::string &Name) {
  std::string Out;
  std::string Head = Seen.Head_;
  std::transform(Head.begin(), Head.end(), Head.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  const std::string Start = "\r\n" + Name + ": ";
  for (std::size_t At = Head.find(Start); At != std::string::npos;
       At = Head.find(Start, At + 1)) {
    const std::size_t Value = At + Start.size();
    Out += "|" + Seen.Head_.substr(Value, Head.find('\r', Value) - Value);
  }
  return Out;
}

/// Guards against calls that reach a server with their caller's key, or under
/// another workspace than the one that holds the key.
class KeyOfAWorkspace : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyOfAWorkspace);
  CPPUNIT_TEST(isReplacedByTheNameOfItsWorkspace);
  CPPUNIT_TEST(overridesTheWorkspaceThatACallerNames);
  CPPUNIT_TEST(staysHereWhenACallIsPipelinedOrUploadedOrTriedAgain);
  CPPUNIT_TEST(staysHereWhenACallIsHedged);
  CPPUNIT_TEST(staysHereOnAPublicRoute);
  CPPUNIT_TEST(isRequiredBeforeACallReachesAServer);
  CPPUNIT_TEST(isCheckedBeforeTheBodyIsRead);
  CPPUNIT_TEST(isCheckedForEachCallOfAConnection);
  CPPUNIT_TEST(isTakenAndRefusedAsTheConfigurationChanges);
  CPPUNIT_TEST(isNotCalledUnknownWhileTheConfigurationMayBeOld);
  CPPUNIT_TEST(isCheckedAgainAfterAWaitForAFreshView);
  CPPUNIT_TEST(isCheckedAgainAfterAWaitForAConnection);
  CPPUNIT_TEST(staysHereWhenWorkspacesComeIntoForceDuringAWait);
  CPPUNIT_TEST(isAFieldLikeAnyOtherWithoutWorkspaces);
  CPPUNIT_TEST_SUITE_END();

  Json Document_ = makeDocument();

  /// Puts the configuration into force and waits until all threads apply it.
  void apply(FrontEnd &Front) {
    model::Problems Found;
    const auto Read = platform::readConfiguration(Document_.dump(), {}, Found);
    CPPUNIT_ASSERT(Read.has_value() && Found.empty());
    Front.changePreset([&](model::Preset &Preset) {
      const std::string Name = Preset.Name_;
      const model::Preset Former = Preset;
      Preset = Read->Preset_;
      Preset.Name_ = Name;
      Preset.Retry_ = Former.Retry_;
      Preset.Measuring_ = Former.Measuring_;
    });
  }

  /// A process that speaks the platform's protocol, in front of these servers.
  /// One thread, so that its configuration changes at one moment.
  std::unique_ptr<FrontEnd>
  start(const std::vector<FrontEnd::Target> &Servers) {
    auto Front = std::make_unique<FrontEnd>(Servers, adapters::HttpLimits{}, 1,
                                            platform::platformDialect());
    apply(*Front);
    return Front;
  }

  static std::string search(const std::string &Fields) {
    return request("GET", "/search/7", "Attempt-Id: a1\r\n" + Fields);
  }

  static unsigned statusOf(FrontEnd &Front, const std::string &Bytes) {
    return RawCaller(Front.port()).call(Bytes).Status_;
  }

  static void assertSeenFrom(const std::string &Workspace,
                             const Request &Seen) {
    CPPUNIT_ASSERT_EQUAL("|" + Workspace, valuesOf(Seen, "tenant"));
    CPPUNIT_ASSERT_EQUAL(std::string(), valuesOf(Seen, "authorization"));
    CPPUNIT_ASSERT(Seen.Head_.find("-key-") == std::string::npos);
  }

public:
  void isReplacedByTheNameOfItsWorkspace() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    for (const char *Key :
         {"Token north-key-1", "token north-key-2", "TOKEN  north-key-1"}) {
      const std::string Field = std::string("aUTHORIZATION: ") + Key + "\r\n";
      CPPUNIT_ASSERT_EQUAL(200U, statusOf(*Front, search(Field)));
      assertSeenFrom("north", Server.requests().back());
    }
    CPPUNIT_ASSERT_EQUAL(200U, statusOf(*Front, search(SouthKey)));
    assertSeenFrom("south", Server.requests().back());
  }

  void overridesTheWorkspaceThatACallerNames() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    for (const char *Named :
         {"Tenant: south\r\n", "tenant: south\r\nTENANT: west\r\n",
          "Tenant:\r\n", "Connection: Tenant\r\nTenant: south\r\n"}) {
      CPPUNIT_ASSERT_EQUAL(200U, statusOf(*Front, search(Named + NorthKey)));
      assertSeenFrom("north", Server.requests().back());
    }
  }

  void staysHereWhenACallIsPipelinedOrUploadedOrTriedAgain() {
    std::atomic<bool> Rejects{false};
    ScriptedServer Server([&](const Request &Seen) {
      if (Rejects.exchange(false))
        return answerTo(Seen, "full", "503 Full", "Not-Executed: 1\r\n");
      return answerTo(Seen);
    });
    const auto Front =
        start({{"cat-1", Server.port()}, {"cat-2", Server.port()}});
    RawCaller Pipelining(Front->port());
    Pipelining.send(search(NorthKey) + search(NorthKey) + search(NorthKey));
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT_EQUAL(200U, Pipelining.read().Status_);
    const std::string Fields = "Attempt-Id: a2\r\n" + NorthKey;
    const std::string Body(1000000, 'u');
    CPPUNIT_ASSERT_EQUAL(
        200U, statusOf(*Front, request("POST", "/licence/7", Fields, Body)));
    CPPUNIT_ASSERT_EQUAL(
        200U,
        statusOf(*Front, request("POST", "/licence/7",
                                 Fields + "Transfer-Encoding: chunked\r\n") +
                             "1\r\nx\r\n0\r\n" + NorthKey + "\r\n"));
    Rejects = true;
    CPPUNIT_ASSERT_EQUAL(200U, statusOf(*Front, search(NorthKey)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), Server.requests().size());
    for (const Request &Seen : Server.requests())
      assertSeenFrom("north", Seen);
  }

  void staysHereWhenACallIsHedged() {
    constexpr unsigned WarmCalls = 200;
    Gate Slow;
    std::atomic<unsigned> SlowAttempts{0};
    const auto Script = [&](const Request &Seen) {
      if (Seen.Head_.find("/search/slow") != std::string::npos &&
          ++SlowAttempts == 1)
        Slow.pass();
      return answerTo(Seen);
    };
    ScriptedServer One(Script);
    ScriptedServer Two(Script);
    const auto Front = start({{"cat-1", One.port()}, {"cat-2", Two.port()}});
    Front->changePreset(
        [](model::Preset &Preset) { Preset.Hedge_.Ratio_ = 1; });
    RawCaller Caller(Front->port());
    for (unsigned I = 0; I < WarmCalls; ++I)
      CPPUNIT_ASSERT_EQUAL(200U, Caller.call(search(NorthKey)).Status_);
    Caller.send(
        request("GET", "/search/slow", "Attempt-Id: a5\r\n" + NorthKey));
    CPPUNIT_ASSERT_EQUAL(200U, Caller.read().Status_);
    Slow.open();
    CPPUNIT_ASSERT_EQUAL(2U, SlowAttempts.load());
    for (const ScriptedServer *Server : {&One, &Two})
      for (const Request &Seen : Server->requests())
        assertSeenFrom("north", Seen);
  }

  void staysHereOnAPublicRoute() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    const auto Call = [&](const std::string &Fields) {
      const std::string All = "Attempt-Id: a3\r\nTenant: south\r\n" + Fields;
      CPPUNIT_ASSERT_EQUAL(200U,
                           statusOf(*Front, request("GET", "/open/7", All)));
      return Server.requests().back();
    };
    assertSeenFrom("north", Call(NorthKey));
    for (const Request &Seen :
         {Call(""), Call("Authorization: Token other-key-1\r\n")}) {
      CPPUNIT_ASSERT_EQUAL(std::string(), valuesOf(Seen, "tenant"));
      CPPUNIT_ASSERT_EQUAL(std::string(), valuesOf(Seen, "authorization"));
    }
  }

  void isRequiredBeforeACallReachesAServer() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    const std::string Name = "Authorization: ";
    const std::vector<std::string> Refused = {
        std::string(),
        Name + "\r\n",
        Name + "Token\r\n",
        Name + "Token other-key-1\r\n",
        Name + "north-key-1\r\n",
        Name + "Basic north-key-1\r\n",
        Name + "Token north-key-1 x\r\n",
        Name + "Token north-key-1, Token south-key-1\r\n",
        Name + "Token north-key\r\n",
        Name + "Token NORTH-KEY-1\r\n",
        Name + "Token north-key-\xff\r\n",
        NorthKey + SouthKey,
        NorthKey + NorthKey,
        Name + "Token " + std::string(3000, 'k') + "\r\n",
        "Tenant: north\r\n",
        "Proxy-" + NorthKey,
        "Connection: Authorization\r\n" + NorthKey};
    for (const std::string &Credentials : Refused) {
      const auto Answer = RawCaller(Front->port()).call(search(Credentials));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Credentials, 401U, Answer.Status_);
      CPPUNIT_ASSERT_MESSAGE(Credentials,
                             Answer.Head_.find("WWW-Authenticate: Token") !=
                                 std::string::npos);
    }
    CPPUNIT_ASSERT(Server.requests().empty());
  }

  void isCheckedBeforeTheBodyIsRead() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    const std::string Head =
        "POST /licence/7 HTTP/1.1\r\nHost: cumingauge\r\nAttempt-Id: a4\r\n"
        "Expect: 100-continue\r\nContent-Length: 3000000\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(401U, statusOf(*Front, Head));
    CPPUNIT_ASSERT(Server.requests().empty());
  }

  void isCheckedForEachCallOfAConnection() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    RawCaller Caller(Front->port());
    Caller.send(search(NorthKey) + search(SouthKey) + search("") +
                search(NorthKey));
    CPPUNIT_ASSERT_EQUAL(200U, Caller.read().Status_);
    CPPUNIT_ASSERT_EQUAL(200U, Caller.read().Status_);
    CPPUNIT_ASSERT_EQUAL(401U, Caller.read().Status_);
    CPPUNIT_ASSERT(Caller.read().Closed_);
    const auto Seen = Server.requests();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Seen.size());
    std::string Workspaces = valuesOf(Seen[0], "tenant");
    Workspaces += valuesOf(Seen[1], "tenant");
    CPPUNIT_ASSERT(Workspaces == "|north|south" ||
                   Workspaces == "|south|north");
  }

  void isTakenAndRefusedAsTheConfigurationChanges() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    RawCaller Kept(Front->port());
    CPPUNIT_ASSERT_EQUAL(200U, Kept.call(search(NorthKey)).Status_);
    const std::string NewKey = "Authorization: Token south-key-2\r\n";
    CPPUNIT_ASSERT_EQUAL(401U, statusOf(*Front, search(NewKey)));
    Document_["tenants"][0]["api-keys"] = {"north-key-2"};
    Document_["tenants"][1]["api-keys"] = {"south-key-1", "south-key-2"};
    apply(*Front);
    CPPUNIT_ASSERT_EQUAL(200U, statusOf(*Front, search(NewKey)));
    assertSeenFrom("south", Server.requests().back());
    CPPUNIT_ASSERT_EQUAL(401U, Kept.call(search(NorthKey)).Status_);
    Document_["tenants"] = Json::array();
    apply(*Front);
    CPPUNIT_ASSERT_EQUAL(401U, statusOf(*Front, search(NewKey)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Server.requests().size());
  }

  void isNotCalledUnknownWhileTheConfigurationMayBeOld() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    Front->setFresh(false);
    const std::string Other = "Authorization: Token other-key-1\r\n";
    CPPUNIT_ASSERT_EQUAL(503U, statusOf(*Front, search(Other)));
    CPPUNIT_ASSERT_EQUAL(401U, statusOf(*Front, search("")));
  }

  void isCheckedAgainAfterAWaitForAFreshView() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const auto Front = start({{"cat-1", Server.port()}});
    Front->setFresh(false);
    RawCaller Waiting(Front->port());
    Waiting.send(search(NorthKey));
    CPPUNIT_ASSERT(
        eventually([&] { return Front->traffic().stats().InFlight_ == 1; }));
    Document_["tenants"][0]["api-keys"] = {"north-key-2"};
    apply(*Front);
    Front->setFresh(true);
    CPPUNIT_ASSERT_EQUAL(401U, Waiting.read().Status_);
    CPPUNIT_ASSERT(Server.requests().empty());
  }

  void isCheckedAgainAfterAWaitForAConnection() {
    Gate Answering;
    ScriptedServer Server([&](const Request &Seen) {
      Answering.pass();
      return answerTo(Seen);
    });
    const auto Front = start({{"cat-1", Server.port()}});
    Front->changePreset(
        [](model::Preset &Preset) { Preset.Servers_.MaxConnections_ = 1; });
    RawCaller Before(Front->port());
    Before.send(search(NorthKey));
    CPPUNIT_ASSERT(eventually([&] { return Server.requests().size() == 1; }));
    RawCaller Waiting(Front->port());
    Waiting.send(search(NorthKey));
    CPPUNIT_ASSERT(
        eventually([&] { return Front->traffic().stats().Attempts_ == 2; }));
    Document_["tenants"][0]["api-keys"] = {"north-key-2"};
    apply(*Front);
    Answering.open();
    CPPUNIT_ASSERT_EQUAL(401U, Waiting.read().Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Server.requests().size());
  }

  void staysHereWhenWorkspacesComeIntoForceDuringAWait() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    const Json Workspaces = Document_["tenants"];
    Document_.erase("tenants");
    const auto Front = start({{"cat-1", Server.port()}});
    Front->setFresh(false);
    RawCaller Waiting(Front->port());
    Waiting.send(search(NorthKey));
    CPPUNIT_ASSERT(
        eventually([&] { return Front->traffic().stats().InFlight_ == 1; }));
    Document_["tenants"] = Workspaces;
    apply(*Front);
    Front->setFresh(true);
    CPPUNIT_ASSERT_EQUAL(200U, Waiting.read().Status_);
    assertSeenFrom("north", Server.requests().back());
  }

  void isAFieldLikeAnyOtherWithoutWorkspaces() {
    ScriptedServer Server([](const Request &Seen) { return answerTo(Seen); });
    Document_.erase("tenants");
    const auto Front = start({{"cat-1", Server.port()}});
    CPPUNIT_ASSERT_EQUAL(200U, statusOf(*Front, search("")));
    CPPUNIT_ASSERT_EQUAL(
        200U, statusOf(*Front, search("Tenant: south\r\n" + NorthKey)));
    const Request Seen = Server.requests().back();
    CPPUNIT_ASSERT_EQUAL(std::string("|Token north-key-1"),
                         valuesOf(Seen, "authorization"));
    CPPUNIT_ASSERT_EQUAL(std::string(), valuesOf(Seen, "tenant"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeyOfAWorkspace);

} // namespace
