#include "platform/dialect.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;

namespace {

class PlatformDialectTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformDialectTest);
  CPPUNIT_TEST(readsInFlightQueuedSlotsAndPace);
  CPPUNIT_TEST(ignoresAMalformedLoadReport);
  CPPUNIT_TEST(detectsACallThatDidNotRun);
  CPPUNIT_TEST(readsHowLongAServerIsCold);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsInFlightQueuedSlotsAndPace() {
    const auto Short = platform::readServerLoad("3,1,8");
    CPPUNIT_ASSERT(Short.has_value());
    CPPUNIT_ASSERT_EQUAL(3U, Short->InFlight_);
    CPPUNIT_ASSERT_EQUAL(1U, Short->Queued_);
    CPPUNIT_ASSERT_EQUAL(8U, Short->Slots_);
    CPPUNIT_ASSERT_EQUAL(100U, Short->PacePercent_);
    CPPUNIT_ASSERT_EQUAL(400U,
                         platform::readServerLoad("3,1,8,400")->PacePercent_);
  }

  void ignoresAMalformedLoadReport() {
    for (const char *Text : {"", "3", "3,1", "a,b,c", "-1,0,1", "3,,1"})
      CPPUNIT_ASSERT_MESSAGE(Text, !platform::readServerLoad(Text));
    CPPUNIT_ASSERT(
        rc::check("any text is parsed or ignored without failure", [] {
          platform::readServerLoad(*rc::gen::arbitrary<std::string>());
        }));
  }

  void detectsACallThatDidNotRun() {
    const traffic::Dialect &Dialect = platform::platformDialect();
    CPPUNIT_ASSERT(Dialect.IsNotRun_(503, "1"));
    CPPUNIT_ASSERT(Dialect.IsNotRun_(429, "1"));
    CPPUNIT_ASSERT(Dialect.IsNotRun_(421, ""));
    CPPUNIT_ASSERT(Dialect.IsLeaving_(421, ""));
    CPPUNIT_ASSERT(!Dialect.IsNotRun_(503, ""));
    CPPUNIT_ASSERT(!Dialect.IsNotRun_(504, ""));
    CPPUNIT_ASSERT(!Dialect.IsLeaving_(503, "1"));
  }

  void readsHowLongAServerIsCold() {
    const traffic::Dialect &Dialect = platform::platformDialect();
    const auto Read = [&](const char *Text) {
      return Dialect.ReadNotice_(200, {std::nullopt, std::nullopt, Text});
    };
    CPPUNIT_ASSERT(Read("2500").ColdFor_ == model::milliseconds(2500));
    CPPUNIT_ASSERT(Read("0.5").ColdFor_ == model::milliseconds(1));
    CPPUNIT_ASSERT(Read("0").ColdFor_ == model::milliseconds(0));
    CPPUNIT_ASSERT(!Read("0").IsUnreadable_);
    for (const char *Text : {"", "-5", "soon", "1e9", "999999999999", "1,2"}) {
      CPPUNIT_ASSERT(Read(Text).ColdFor_ == model::milliseconds(0));
      CPPUNIT_ASSERT(Read(Text).IsUnreadable_);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PlatformDialectTest);

} // namespace
