#include "scripts.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>

using namespace cumingauge::fakes;

namespace {

constexpr unsigned FleetSize = 6;

/// RC_PARAMS in the environment replaces this, for other seeds and any number
/// of scripts: RC_PARAMS="seed=7 max_success=100000".
const int DefaultScripts =
    setenv("RC_PARAMS", "seed=20261204 max_success=1000", /*overwrite=*/0);

class RandomFailures : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomFailures);
  CPPUNIT_TEST(breakNoPromise);
  CPPUNIT_TEST_SUITE_END();

public:
  void breakNoPromise() {
    CPPUNIT_ASSERT(DefaultScripts == 0);
    CPPUNIT_ASSERT(rc::check("random failures break no promise", [] {
      const auto Script = *scripts();
      const auto Seed = *rc::gen::inRange(0U, 1000000U);
      const auto Broken = play(Script, FleetSize, Seed);
      for (const std::string &What : Broken)
        RC_LOG() << What << "\n";
      RC_ASSERT(Broken.empty());
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RandomFailures);

} // namespace
