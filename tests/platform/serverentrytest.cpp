#include "platform/serverentry.h"
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cumingauge;
using Json = nlohmann::json;

namespace {

Json goodEntry() {
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

class AServersEntry : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AServersEntry);
  CPPUNIT_TEST(namesAServer);
  CPPUNIT_TEST(tellsTwoStartsUnderOneIdApart);
  CPPUNIT_TEST(saysThatTheServerLeaves);
  CPPUNIT_TEST(namesNobodyWhenAFieldIsMissing);
  CPPUNIT_TEST(namesNobodyWhenAFieldHasAnotherType);
  CPPUNIT_TEST(namesNobodyWhenItCannotBeRead);
  CPPUNIT_TEST_SUITE_END();

public:
  void namesAServer() {
    const auto Read = read(goodEntry());
    CPPUNIT_ASSERT(Read.has_value());
    const model::BackendServer Expected{
        "i-1", "i-1/1777740854294",     "huvo", "milano-a", "10.1.0.9", 8080,
        3,     model::milliseconds(250)};
    CPPUNIT_ASSERT(Expected == Read->Server_);
    CPPUNIT_ASSERT(!Read->Leaving_);
  }

  void tellsTwoStartsUnderOneIdApart() {
    Json Later = goodEntry();
    Later["born"] = 1777740854295;
    CPPUNIT_ASSERT(read(goodEntry())->Server_.Vm_ != read(Later)->Server_.Vm_);
  }

  void saysThatTheServerLeaves() {
    Json Entry = goodEntry();
    Entry["status"]["state"] = "draining";
    CPPUNIT_ASSERT(read(Entry)->Leaving_);
  }

  void namesNobodyWhenAFieldIsMissing() {
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
      Json Entry = goodEntry();
      (Part.empty() ? Entry : Entry[Part]).erase(Field);
      CPPUNIT_ASSERT_MESSAGE(Field, !read(Entry));
    }
  }

  void namesNobodyWhenAFieldHasAnotherType() {
    for (const Json &Wrong :
         {Json("text"), Json(-1), Json(1.5), Json(nullptr), Json::array()}) {
      Json Slots = goodEntry();
      Slots["information"]["slots"] = Wrong;
      CPPUNIT_ASSERT(!read(Slots));
      Json State = goodEntry();
      State["status"]["state"] = Wrong;
      CPPUNIT_ASSERT(!read(State));
      Json Born = goodEntry();
      Born["born"] = Wrong;
      CPPUNIT_ASSERT(!read(Born));
    }
  }

  void namesNobodyWhenItCannotBeRead() {
    CPPUNIT_ASSERT(rc::check("cut or changed bytes never fail hard", [] {
      std::string Bytes = goodEntry().dump();
      const auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      Bytes[At] = *rc::gen::arbitrary<char>();
      platform::readServerEntry("i-1", Bytes);
      RC_ASSERT(!platform::readServerEntry("i-1", Bytes.substr(0, At)));
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AServersEntry);

} // namespace
