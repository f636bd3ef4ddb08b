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

  template <class T> static void expectSamePaths(const std::string &Heading) {
    std::set<std::string> Defined;
    tests::addSettingPaths<T>("", Defined);
    const std::set<std::string> Documented = tests::documentedPaths(
        SOURCE_DIR "/docs/operators/settings.md", Heading);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not documented", std::string(),
                                 tests::missingFrom(Defined, Documented));
    CPPUNIT_ASSERT_EQUAL_MESSAGE("not in the code", std::string(),
                                 tests::missingFrom(Documented, Defined));
  }

public:
  void hasEverySettingOfTheEntryProcessAndNoOther() {
    expectSamePaths<DaemonSettings>("## cumingauged");
  }

  void hasEverySettingOfTheOperatorsClientAndNoOther() {
    expectSamePaths<ctl::CtlSettings>("## cumingaugectl");
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheSettingsReference);

} // namespace
