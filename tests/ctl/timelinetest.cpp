#include "timelinecommand.h"
#include "timelinepage.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using ctl::TimelineFilter;
using model::Event;
using model::EventKind;

namespace {

Event event(std::uint64_t WallMs, std::uint32_t Counter,
            const std::string &Process, EventKind Kind,
            const std::string &Subject, std::uint64_t Version = 0) {
  return {{WallMs, Counter},     Process, Kind, Subject, Version,
          model::ResultCode::Ok, ""};
}

const std::vector<Event> Sample = {
    event(20, 1, "b", EventKind::ChangeApplied, "c-1", 7),
    event(20, 0, "b", EventKind::ChangeSeen, "c-1", 7),
    event(10, 0, "a", EventKind::ServerLeaving, "rights-1"),
    event(15, 3, "a", EventKind::ChangeApplied, "c-1", 7),
};

std::string sortedText(const TimelineFilter &Filter) {
  std::string Out;
  for (const Event &Item : ctl::filterAndSort(Sample, Filter))
    Out += Item.Process_ + std::to_string(Item.At_.WallMs_) + "." +
           std::to_string(Item.At_.Counter_) + " ";
  return Out;
}

class TheTimeLine : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheTimeLine);
  CPPUNIT_TEST(sortsEventsByTimestamp);
  CPPUNIT_TEST(showsOnlyEventsThatMatchTheFilter);
  CPPUNIT_TEST(parsesDurations);
  CPPUNIT_TEST(escapesDataInsideTheScriptElement);
  CPPUNIT_TEST_SUITE_END();

public:
  void sortsEventsByTimestamp() {
    CPPUNIT_ASSERT_EQUAL(std::string("a10.0 a15.3 b20.0 b20.1 "),
                         sortedText({}));
  }

  void showsOnlyEventsThatMatchTheFilter() {
    CPPUNIT_ASSERT_EQUAL(std::string("a10.0 a15.3 "),
                         sortedText({"a", "", "", "", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("a10.0 "),
                         sortedText({"", "rights-1", "", "", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("a15.3 b20.0 b20.1 "),
                         sortedText({"", "", "c-1", "", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("a15.3 b20.0 b20.1 "),
                         sortedText({"", "", "7", "", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("a15.3 b20.1 "),
                         sortedText({"", "", "", "changeApplied", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("b20.0 b20.1 "),
                         sortedText({"", "", "", "", 16}));
  }

  void parsesDurations() {
    constexpr std::uint64_t Now = 10000000;
    CPPUNIT_ASSERT_EQUAL(Now - 90000, ctl::parseSince("90s", Now).value());
    CPPUNIT_ASSERT_EQUAL(Now - 900000, ctl::parseSince("15m", Now).value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ctl::parseSince("9h", Now).value());
    for (const char *Wrong : {"", "s", "10", "-1s", "1d", "9999999999s"})
      CPPUNIT_ASSERT_MESSAGE(Wrong, !ctl::parseSince(Wrong, Now));
  }

  void escapesDataInsideTheScriptElement() {
    const std::string Page =
        ctl::timelinePage({{"events", {"</script><b>\xff"}}});
    CPPUNIT_ASSERT(Page.find("\\u003c/script>\\u003cb>") != std::string::npos);
    CPPUNIT_ASSERT(Page.find("@DATA@") == std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheTimeLine);

} // namespace
