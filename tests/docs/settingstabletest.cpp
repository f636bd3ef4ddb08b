#include "ctlsettings.h"
#include "cumingauged/daemonsettings.h"
#include "settingpaths.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;

namespace {

class TheSettingsReference : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheSettingsReference);
  CPPUNIT_TEST(hasEverySettingOfTheEntryProcessAndNoOther);
  CPPUNIT_TEST(hasEverySettingOfTheOperatorsClientAndNoOther);
  CPPUNIT_TEST_SUITE_END();

  template <class T> static void compare(const std::string &Heading) {
    std::set<std::string> Known;
    tests::addSettingPaths<T>("", Known);
    const std::set<std::string> Documented = tests::documentedPaths(
        SOURCE_DIR "/docs/operators/settings.md", Heading);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not documented", std::string(),
                                 tests::missingFrom(Known, Documented));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not in the code", std::string(),
                                 tests::missingFrom(Documented, Known));
  }

public:
  void hasEverySettingOfTheEntryProcessAndNoOther() {
    compare<DaemonSettings>("## cumingauged");
  }

  void hasEverySettingOfTheOperatorsClientAndNoOther() {
    compare<ctl::CtlSettings>("## cumingaugectl");
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheSettingsReference);

} // namespace
