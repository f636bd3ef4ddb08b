#include "adapters/loadreporttext.h"
#include "codec/describedjson.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;

namespace {

class ReadingALoadReport : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadingALoadReport);
  CPPUNIT_TEST(readsWhatAServerWrote);
  CPPUNIT_TEST(ignoresUnknownMembers);
  CPPUNIT_TEST(rejectsMalformedReports);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsWhatAServerWrote() {
    CPPUNIT_ASSERT(rc::check("a written report is read", [] {
      model::LoadReport Written;
      Written.InFlight_ = *rc::gen::arbitrary<unsigned>();
      Written.Queued_ = *rc::gen::arbitrary<unsigned>();
      Written.Slots_ = *rc::gen::arbitrary<unsigned>();
      Written.Age_ = model::milliseconds(*rc::gen::inRange(0, 100000));
      Written.Draining_ = *rc::gen::arbitrary<bool>();
      Written.Cold_ = *rc::gen::arbitrary<bool>();
      const auto Read =
          adapters::parseLoadReport(codec::toJson(Written).dump());
      RC_ASSERT(Read && *Read == Written);
    }));
  }

  void ignoresUnknownMembers() {
    const auto Read = adapters::parseLoadReport(
        R"({"cpu": 0.5, "inFlight": 2, "named": {"inFlight": 9, "cold": true},
            "list": [1, {"queued": 3}], "text": "x", "none": null})");
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(2U, Read->InFlight_);
    CPPUNIT_ASSERT_EQUAL(0U, Read->Queued_);
    CPPUNIT_ASSERT(!Read->Cold_);
  }

  void rejectsMalformedReports() {
    for (const char *Text :
         {"", "{", "[]", "[1]", "3", "\"x\"", R"({"inFlight": -1})",
          R"({"inFlight": "2"})", R"({"inFlight": 4294967296})",
          R"({"inFlight": 1.5})", R"({"slots": true})", R"({"draining": 1})",
          R"({"queued": {}})", R"({"ageMs": [1]})", R"({"cold": null})"})
      CPPUNIT_ASSERT_MESSAGE(Text, !adapters::parseLoadReport(Text));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReadingALoadReport);

} // namespace
