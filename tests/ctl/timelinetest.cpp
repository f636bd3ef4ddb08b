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

std::string orderOf(const TimelineFilter &Filter) {
  std::string Out;
  for (const Event &One : ctl::arrange(Sample, Filter))
    Out += One.Process_ + std::to_string(One.At_.WallMs_) + "." +
           std::to_string(One.At_.Counter_) + " ";
  return Out;
}

class TheTimeLine : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheTimeLine);
  CPPUNIT_TEST(putsCausesBeforeEffects);
  CPPUNIT_TEST(showsOnlyWhatIsAskedFor);
  CPPUNIT_TEST(readsDurations);
  CPPUNIT_TEST(keepsDataInsideItsScript);
  CPPUNIT_TEST_SUITE_END();

public:
  void putsCausesBeforeEffects() {
    CPPUNIT_ASSERT_EQUAL(std::string("a10.0 a15.3 b20.0 b20.1 "), orderOf({}));
  }

  void showsOnlyWhatIsAskedFor() {
    CPPUNIT_ASSERT_EQUAL(std::string("a10.0 a15.3 "),
                         orderOf({"a", "", "", "", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("a10.0 "),
                         orderOf({"", "rights-1", "", "", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("a15.3 b20.0 b20.1 "),
                         orderOf({"", "", "c-1", "", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("a15.3 b20.0 b20.1 "),
                         orderOf({"", "", "7", "", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("a15.3 b20.1 "),
                         orderOf({"", "", "", "changeApplied", 0}));
    CPPUNIT_ASSERT_EQUAL(std::string("b20.0 b20.1 "),
                         orderOf({"", "", "", "", 16}));
  }

  void readsDurations() {
    constexpr std::uint64_t Now = 10000000;
    CPPUNIT_ASSERT_EQUAL(Now - 90000, ctl::sinceTime("90s", Now).value());
    CPPUNIT_ASSERT_EQUAL(Now - 900000, ctl::sinceTime("15m", Now).value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ctl::sinceTime("9h", Now).value());
    for (const char *Wrong : {"", "s", "10", "-1s", "1d", "9999999999s"})
      CPPUNIT_ASSERT_MESSAGE(Wrong, !ctl::sinceTime(Wrong, Now));
  }

  void keepsDataInsideItsScript() {
    const std::string Page =
        ctl::timelinePage({{"events", {"</script><b>\xff"}}});
    CPPUNIT_ASSERT(Page.find("\\u003c/script>\\u003cb>") != std::string::npos);
    CPPUNIT_ASSERT(Page.find("@DATA@") == std::string::npos);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheTimeLine);

} // namespace
