#include "policy/idlelimit.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using model::milliseconds;
using model::seconds;

namespace {

/// What a caller is told of the idle time, and what then holds for it.
class IdleTimeOfACaller : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdleTimeOfACaller);
  CPPUNIT_TEST(isToldShorterThanItIsKept);
  CPPUNIT_TEST(isNotToldWhenItIsTooShort);
  CPPUNIT_TEST(growsWithAHigherLimitAtOnce);
  CPPUNIT_TEST(outlastsALowerLimitThatTheCallerWasNotTold);
  CPPUNIT_TEST_SUITE_END();

public:
  void isToldShorterThanItIsKept() {
    const policy::IdleTerms Terms = policy::idleTerms(seconds(15));
    CPPUNIT_ASSERT(Terms == policy::IdleTerms({seconds(15), seconds(12)}));
    CPPUNIT_ASSERT(policy::keptIdleFor(Terms, seconds(15)) == seconds(15));
  }

  void isNotToldWhenItIsTooShort() {
    CPPUNIT_ASSERT(policy::idleTerms(milliseconds(1200)).Told_ == seconds(0));
  }

  void growsWithAHigherLimitAtOnce() {
    const policy::IdleTerms Terms = policy::idleTerms(seconds(15));
    CPPUNIT_ASSERT(policy::keptIdleFor(Terms, seconds(60)) == seconds(60));
  }

  void outlastsALowerLimitThatTheCallerWasNotTold() {
    const policy::IdleTerms Terms = policy::idleTerms(seconds(60));
    CPPUNIT_ASSERT(policy::keptIdleFor(Terms, seconds(15)) == seconds(60));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleTimeOfACaller);

} // namespace
