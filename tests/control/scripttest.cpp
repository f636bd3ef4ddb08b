#include "scripts.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <iostream>

using namespace cumingauge::fakes;

namespace {

constexpr unsigned FleetSize = 6;
/// Number of scripts from which on at least one must have checked each
/// guarantee.
constexpr unsigned EnoughScripts = 100;

/// RC_PARAMS in the environment replaces this, for other seeds and any number
/// of scripts: RC_PARAMS="seed=7 max_success=100000".
const int DefaultScripts =
    setenv("RC_PARAMS", "seed=20261204 max_success=1000", /*overwrite=*/0);

class RandomFailures : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RandomFailures);
  CPPUNIT_TEST(keepAllGuarantees);
  CPPUNIT_TEST_SUITE_END();

public:
  void keepAllGuarantees() {
    CPPUNIT_ASSERT(DefaultScripts == 0);
    unsigned Scripts = 0;
    std::uint64_t InForceChecks = 0;
    std::uint64_t DispatchChecks = 0;
    const bool Holds = rc::check("random failures break no promise", [&] {
      const auto Script = *scripts();
      const auto Seed = *rc::gen::inRange(0U, 1000000U);
      const ScriptResult Result = runScript(Script, FleetSize, Seed);
      ++Scripts;
      InForceChecks += Result.InForceChecks_;
      DispatchChecks += Result.DispatchChecks_;
      for (const std::string &What : Result.Violations_)
        RC_LOG() << What << "\n";
      RC_ASSERT(Result.Violations_.empty());
    });
    std::cerr << InForceChecks << " checks of a version in time, "
              << DispatchChecks << " of a marked server\n";
    CPPUNIT_ASSERT(Holds);
    CPPUNIT_ASSERT(Scripts < EnoughScripts ||
                   (InForceChecks > 0 && DispatchChecks > 0));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RandomFailures);

} // namespace
