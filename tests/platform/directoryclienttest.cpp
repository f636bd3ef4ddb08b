#include "platform/directoryclient.h"
#include "codec/base64.h"
#include "emulator/httpserver.h"
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <optional>

using namespace cumingauge;
using Json = nlohmann::json;
using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryResponse;

namespace {

/// A store that gives the same answer to each call, and a client of it.
class CannedStore {
public:
  explicit CannedStore(const emulator::HttpAnswer &Answer)
      : Server_(Io_, [this, Answer](
                         const std::shared_ptr<emulator::HttpExchange> &Call) {
          LastTarget_ = Call->Request_.Target_;
          LastBody_ = Call->Request_.Body_;
          Call->Answer_(Answer);
        }) {
    platform::PlatformSettings Settings;
    Settings.Store_.Host_ = "127.0.0.1";
    Settings.Store_.Port_ = Server_.listen("127.0.0.1", 0);
    Client_ = platform::makeDirectory(Io_, Settings, {});
  }

  DirectoryResponse
  call(DirectoryOperation Operation,
       ports::DirectoryTopic Topic = ports::DirectoryTopic::Configuration,
       const std::string &Page = "") {
    DirectoryRequest Request;
    Request.Operation_ = Operation;
    Request.Topic_ = Topic;
    Request.Page_ = Page;
    Request.Claim_ = {3, {"front-1", 8, "10.1.0.9", 7280, 4}, 12};
    std::optional<DirectoryResponse> Out;
    Client_.Execute_(Request,
                     [&](const DirectoryResponse &Read) { Out = Read; });
    Io_.restart();
    while (!Out && Io_.run_one() > 0) {
    }
    CPPUNIT_ASSERT(Out.has_value());
    return *Out;
  }

  /// Returns the target of the last request.
  const std::string &lastTarget() const { return LastTarget_; }
  const std::string &lastBody() const { return LastBody_; }

private:
  std::string LastBody_;
  std::string LastTarget_;
  boost::asio::io_context Io_{1};
  emulator::HttpServer Server_;
  ports::Directory Client_;
};

emulator::HttpAnswer answer(unsigned Status, const std::string &Era) {
  emulator::HttpAnswer Out;
  Out.Status_ = Status;
  Out.Body_ = R"({"at":95})";
  if (!Era.empty())
    Out.Fields_.push_back({"Store-Era", Era});
  return Out;
}

std::string base64Of(const Json &Document) {
  return codec::encodeBase64(Document.dump());
}

/// Returns the JSON of a valid entry of a server.
Json validEntry() {
  return {{"address", "10.1.0.9:8080"},
          {"information",
           {{"service", "huvo"},
            {"version", "v1"},
            {"zone", "milano-a"},
            {"slots", 3}}},
          {"status",
           {{"state", "ready"}, {"sequence", 4}, {"cold-remaining-ms", 250}}}};
}

Json item(const std::string &Key, const std::string &Value) {
  return {{"key", Key}, {"value", Value}, {"revision", 90}, {"lease", 0}};
}

/// Returns a page or the events of a watch that has these items.
emulator::HttpAnswer listOf(const char *Name, const std::vector<Json> &Items) {
  emulator::HttpAnswer Out;
  Out.Status_ = 200;
  Out.Body_ = Json{{"at", 95}, {Name, Items}, {"has-more", false}}.dump();
  return Out;
}

/// Returns values of an entry that another writer left: none names a server.
std::vector<std::string> oddValues() {
  std::vector<std::string> Out{"", "not base64!",
                               codec::encodeBase64("\xff\xfe")};
  for (const std::size_t Depth : {100U, 5000U, 400000U})
    for (const std::string Open : {"[", "{\"a\":"})
      Out.push_back(codec::encodeBase64([&] {
        std::string Nested;
        for (std::size_t I = 0; I < Depth; ++I)
          Nested += Open;
        return Nested;
      }()));
  for (const char *Number : {"1e999", "-1e999", "1e308", "99999999999999999999",
                             "-9223372036854775809"})
    for (const char *Field :
         {"slots", "sequence", "cold-remaining-ms", "born"}) {
      Json Entry = validEntry();
      Json &Part = std::string(Field) == "slots"  ? Entry["information"]
                   : std::string(Field) == "born" ? Entry
                                                  : Entry["status"];
      Part[Field] = "?";
      std::string Text = Entry.dump();
      Text.replace(Text.find("\"?\""), 3, Number);
      if (std::string(Field) != "cold-remaining-ms" || Number[0] != '-')
        Out.push_back(codec::encodeBase64(Text));
    }
  for (const char *Port :
       {"0", "-1", "65536", "99999999999999999999", "", "80a"}) {
    Json Entry = validEntry();
    Entry["address"] = std::string("10.1.0.9:") + Port;
    Out.push_back(base64Of(Entry));
  }
  Json Slots = validEntry();
  Slots["information"]["slots"] = 4000000000U;
  Out.push_back(base64Of(Slots));
  return Out;
}

class DirectoryClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryClientTest);
  CPPUNIT_TEST(readsTheEraOfEveryResponse);
  CPPUNIT_TEST(ignoresAnEraThatIsAbsentOrNoNumber);
  CPPUNIT_TEST(readsTheRevisionOfAPing);
  CPPUNIT_TEST(readsTheServersBesideAnOddEntry);
  CPPUNIT_TEST(givesNoOtherKeyTheNameOfAServer);
  CPPUNIT_TEST(readsNoServerWhoseNameCannotBeSent);
  CPPUNIT_TEST(requestsThePageAfterAnOddKey);
  CPPUNIT_TEST(pollsWithTheShortestWatch);
  CPPUNIT_TEST(readsEvacuatedZonesBesideTheConfiguration);
  CPPUNIT_TEST(readsTheEndOfAnEvacuation);
  CPPUNIT_TEST(writesAClaimUnderTheConditionOfItsRevision);
  CPPUNIT_TEST(readsTheClaimThatAnotherProcessHasWritten);
  CPPUNIT_TEST(readsClaimsBesideAnOddOne);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsTheEraOfEveryResponse() {
    for (const unsigned Status : {200U, 404U, 410U, 429U, 503U})
      for (const auto Operation :
           {DirectoryOperation::Read, DirectoryOperation::Watch,
            DirectoryOperation::Poll, DirectoryOperation::Announce,
            DirectoryOperation::Claim, DirectoryOperation::Ping})
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            std::to_string(Status), std::uint64_t(7),
            CannedStore(answer(Status, "7")).call(Operation).Era_);
  }

  void ignoresAnEraThatIsAbsentOrNoNumber() {
    for (const char *Era : {"", "seven", "-7", "7a", "99999999999999999999"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Era, std::uint64_t(0),
          CannedStore(answer(200, Era)).call(DirectoryOperation::Read).Era_);
  }

  void readsTheRevisionOfAPing() {
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t(95),
        CannedStore(answer(404, "7")).call(DirectoryOperation::Ping).Revision_);
  }

  /// Another writer left one odd entry among the servers. Guards against
  /// processes that end or stop following the list.
  void readsTheServersBesideAnOddEntry() {
    for (const std::string &Odd : oddValues())
      for (const auto Operation :
           {DirectoryOperation::Read, DirectoryOperation::Watch}) {
        const char *Name =
            Operation == DirectoryOperation::Read ? "items" : "events";
        CannedStore Store(
            listOf(Name, {item("servers/i-1", base64Of(validEntry())),
                          item("servers/i-2", Odd),
                          item("servers/i-3", base64Of(validEntry()))}));
        const auto Read = Store.call(Operation, ports::DirectoryTopic::Servers);
        const std::string Message = Odd.substr(0, 400);
        CPPUNIT_ASSERT(Read.Code_ == model::ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), Read.Servers_.size());
        CPPUNIT_ASSERT(Read.Servers_[0].Listed_ && Read.Servers_[2].Listed_);
        CPPUNIT_ASSERT_MESSAGE(Message, !Read.Servers_[1].Listed_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), Read.Unreadable_.size());
      }
  }

  /// Guards against an entry of another writer that replaces or removes a
  /// server.
  void givesNoOtherKeyTheNameOfAServer() {
    CannedStore Store(listOf(
        "items", {item("servers/i-1", base64Of(validEntry())),
                  item("servers/other/i-1", codec::encodeBase64("odd"))}));
    const auto Read =
        Store.call(DirectoryOperation::Read, ports::DirectoryTopic::Servers);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), Read.Servers_[0].Name_);
    CPPUNIT_ASSERT_EQUAL(std::string("other/i-1"), Read.Servers_[1].Name_);
  }

  /// The name of a server is sent to it. Guards against a name that ends the
  /// header field and begins another.
  void readsNoServerWhoseNameCannotBeSent() {
    for (const std::string Name : {"i-1\r\nX-Other: 1", "i 1", "i-\x7f", ""}) {
      CannedStore Store(
          listOf("items", {item("servers/" + Name, base64Of(validEntry()))}));
      const auto Read =
          Store.call(DirectoryOperation::Read, ports::DirectoryTopic::Servers);
      CPPUNIT_ASSERT_MESSAGE(Name, !Read.Servers_.at(0).Listed_);
    }
  }

  /// The last key of a page is sent to get the next one. Guards against a list
  /// that cannot be read beyond an odd key.
  void requestsThePageAfterAnOddKey() {
    CannedStore Store(listOf("items", {}));
    Store.call(DirectoryOperation::Read, ports::DirectoryTopic::Servers,
               "servers/i&1 #%\n");
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "/kv-range?prefix=servers/&after=servers/i%261%20%23%25%0A"),
        Store.lastTarget());
  }

  /// A poll must not be answered from an outdated copy, as a ping may be.
  void pollsWithTheShortestWatch() {
    CannedStore Store(listOf("events", {}));
    Store.call(DirectoryOperation::Poll, ports::DirectoryTopic::Servers);
    CPPUNIT_ASSERT_EQUAL(
        std::string("/kv-watch?prefix=servers/&after=0&wait-ms=1"),
        Store.lastTarget());
  }

  /// Only the key counts, whatever its value.
  void readsEvacuatedZonesBesideTheConfiguration() {
    CannedStore Store(listOf(
        "items",
        {item("op/config", codec::encodeBase64(R"({"version":7,"routes":[]})")),
         item("op/evacuate/milano-a", "not base64!"),
         item("op/evacuate/torino-b", base64Of(Json::object())),
         item("op/other", base64Of(Json::object()))}));
    const auto Read = Store.call(DirectoryOperation::Read,
                                 ports::DirectoryTopic::Configuration);
    CPPUNIT_ASSERT_EQUAL(std::string("/kv-range?prefix=op/"),
                         Store.lastTarget());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Read.Configuration_->Version_);
    CPPUNIT_ASSERT(
        (Read.Zones_ == std::vector<ports::ZoneRequest>{{"milano-a", true},
                                                        {"torino-b", true}}));
  }

  void readsTheEndOfAnEvacuation() {
    Json Deleted{
        {"key", "op/evacuate/milano-a"}, {"revision", 90}, {"deleted", true}};
    CannedStore Store(listOf("events", {Deleted}));
    const auto Read = Store.call(DirectoryOperation::Watch,
                                 ports::DirectoryTopic::Configuration);
    CPPUNIT_ASSERT(
        (Read.Zones_ == std::vector<ports::ZoneRequest>{{"milano-a", false}}));
    CPPUNIT_ASSERT(!Read.Configuration_);
  }

  void writesAClaimUnderTheConditionOfItsRevision() {
    CannedStore Store(claimAnswer(200, R"({"revision":13})"));
    const auto Written = Store.call(DirectoryOperation::Claim);
    CPPUNIT_ASSERT(Written.Code_ == model::ResultCode::Ok);
    CPPUNIT_ASSERT(!Written.IsConflict_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(13), Written.Revision_);
    CPPUNIT_ASSERT_EQUAL(std::string("/kv-txn"), Store.lastTarget());
    const Json Body = Json::parse(Store.lastBody());
    const Json Condition{{"key", "cumingauge/credit/3"}, {"revision", 12}};
    CPPUNIT_ASSERT(Body["expected-revision"] == Json::array({Condition}));
    CPPUNIT_ASSERT(Body["puts"][0]["key"] == "cumingauge/credit/3");
    CPPUNIT_ASSERT(Json::parse(*codec::decodeBase64(
                       Body["puts"][0]["value"].get<std::string>())) == Claim_);
  }

  void readsTheClaimThatAnotherProcessHasWritten() {
    const Json Items =
        Json::array({item("cumingauge/credit/3", base64Of(Claim_))});
    CannedStore Store(claimAnswer(412, Json{{"items", Items}}.dump()));
    const auto Read = Store.call(DirectoryOperation::Claim);
    CPPUNIT_ASSERT(Read.Code_ == model::ResultCode::Ok && Read.IsConflict_);
    const ports::ListedClaim Expected{
        3, {"front-1", 8, "10.1.0.9", 7280, 4}, 90};
    CPPUNIT_ASSERT(Read.Claims_ == std::vector<ports::ListedClaim>{Expected});
    for (const char *Absent : {R"({"items":[]})",
                               R"({"items":[{"key":"cumingauge/credit/3",
                                  "revision":0}]})"})
      CPPUNIT_ASSERT(CannedStore(claimAnswer(412, Absent))
                         .call(DirectoryOperation::Claim)
                         .Claims_.empty());
  }

  /// Guards against a part whose odd claim cannot be replaced, or is taken for
  /// one that its issuer has given up.
  void readsClaimsBesideAnOddOne() {
    for (const std::string &Odd : oddValues()) {
      CannedStore Store(
          listOf("items", {item("cumingauge/credit/0", Odd),
                           item("cumingauge/credit/3", base64Of(Claim_)),
                           item("cumingauge/credit/x", base64Of(Claim_))}));
      const auto Read = Store.call(DirectoryOperation::Read,
                                   ports::DirectoryTopic::CreditClaims);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read.Claims_.size());
      CPPUNIT_ASSERT(!Read.Claims_[0].IsReadable_);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(90), Read.Claims_[0].Revision_);
      CPPUNIT_ASSERT(Read.Claims_[1].IsReadable_);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read.Unreadable_.size());
    }
  }

private:
  static emulator::HttpAnswer claimAnswer(unsigned Status,
                                          const std::string &Body) {
    emulator::HttpAnswer Out;
    Out.Status_ = Status;
    Out.Body_ = Body;
    return Out;
  }

  const Json Claim_{{"process", "front-1"},
                    {"incarnation", 8},
                    {"host", "10.1.0.9"},
                    {"port", 7280},
                    {"number", 4}};
};
CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryClientTest);

} // namespace
