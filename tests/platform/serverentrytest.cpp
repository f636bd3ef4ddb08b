#include "platform/serverentry.h"
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cumingauge;
using Json = nlohmann::json;

namespace {

Json makeValidEntry() {
  return {{"address", "10.1.0.9:8080"},
          {"born", 1777740854294},
          {"information",
           {{"service", "huvo"},
            {"version", "v1"},
            {"zone", "milano-a"},
            {"slots", 3}}},
          {"status",
           {{"state", "ready"}, {"sequence", 4}, {"cold-remaining-ms", 250}}}};
}

std::optional<ports::ListedServer> read(const Json &Entry) {
  return platform::readServerEntry("i-1", Entry.dump());
}

class ServerEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerEntryTest);
  CPPUNIT_TEST(isReadAsAServer);
  CPPUNIT_TEST(givesTwoStartsOfOneIdDifferentVms);
  CPPUNIT_TEST(marksADrainingServerAsLeaving);
  CPPUNIT_TEST(isIgnoredWhenAFieldIsMissing);
  CPPUNIT_TEST(isIgnoredWhenAFieldHasAnotherType);
  CPPUNIT_TEST(isIgnoredWhenItCannotBeParsed);
  CPPUNIT_TEST_SUITE_END();

public:
  void isReadAsAServer() {
    const auto Read = read(makeValidEntry());
    CPPUNIT_ASSERT(Read.has_value());
    const model::BackendServer Expected{
        "i-1", "i-1/1777740854294",     "huvo", "milano-a", "10.1.0.9", 8080,
        3,     model::milliseconds(250)};
    CPPUNIT_ASSERT(Expected == Read->Server_);
    CPPUNIT_ASSERT(!Read->Leaving_);
  }

  void givesTwoStartsOfOneIdDifferentVms() {
    Json Later = makeValidEntry();
    Later["born"] = 1777740854295;
    CPPUNIT_ASSERT(read(makeValidEntry())->Server_.Vm_ !=
                   read(Later)->Server_.Vm_);
  }

  void marksADrainingServerAsLeaving() {
    Json Entry = makeValidEntry();
    Entry["status"]["state"] = "draining";
    CPPUNIT_ASSERT(read(Entry)->Leaving_);
  }

  void isIgnoredWhenAFieldIsMissing() {
    for (const auto &[Part, Field] :
         std::vector<std::pair<std::string, std::string>>{
             {"", "address"},
             {"information", "service"},
             {"information", "version"},
             {"information", "zone"},
             {"information", "slots"},
             {"status", "state"},
             {"status", "sequence"},
             {"status", "cold-remaining-ms"}}) {
      Json Entry = makeValidEntry();
      (Part.empty() ? Entry : Entry[Part]).erase(Field);
      CPPUNIT_ASSERT_MESSAGE(Field, !read(Entry));
    }
  }

  void isIgnoredWhenAFieldHasAnotherType() {
    for (const Json &Wrong :
         {Json("text"), Json(-1), Json(1.5), Json(nullptr), Json::array()}) {
      Json Slots = makeValidEntry();
      Slots["information"]["slots"] = Wrong;
      CPPUNIT_ASSERT(!read(Slots));
      Json State = makeValidEntry();
      State["status"]["state"] = Wrong;
      CPPUNIT_ASSERT(!read(State));
      Json Born = makeValidEntry();
      Born["born"] = Wrong;
      CPPUNIT_ASSERT(!read(Born));
    }
  }

  void isIgnoredWhenItCannotBeParsed() {
    CPPUNIT_ASSERT(rc::check("truncated or changed bytes never throw", [] {
      std::string Bytes = makeValidEntry().dump();
      const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[At] = *rc::gen::arbitrary<char>();
      platform::readServerEntry("i-1", Bytes);
      RC_ASSERT(!platform::readServerEntry("i-1", Bytes.substr(0, At)));
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServerEntryTest);

} // namespace
