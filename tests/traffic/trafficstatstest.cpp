#include "traffic/trafficstats.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using model::AnswerFault;

namespace {

class FaultyAnswerCounts : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultyAnswerCounts);
  CPPUNIT_TEST(stayBoundedInALargeFleet);
  CPPUNIT_TEST_SUITE_END();

public:
  void stayBoundedInALargeFleet() {
    constexpr std::uint64_t Servers = 19000;
    traffic::TrafficStats Stats;
    for (std::uint64_t I = 0; I < Servers; ++I)
      traffic::recordFaultyAnswer(Stats, "cat-" + std::to_string(I),
                                  AnswerFault::Status);
    CPPUNIT_ASSERT(Stats.FaultyAnswers_.size() < 1000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Stats.FaultyAnswers_.count(
                                             {"cat-0", AnswerFault::Status}));
    traffic::TrafficStats Sum;
    traffic::addStats(Sum, Stats);
    std::uint64_t Total = 0;
    for (const auto &[Key, Count] : Sum.FaultyAnswers_)
      Total += Count;
    CPPUNIT_ASSERT_EQUAL(Servers, Total);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FaultyAnswerCounts);

} // namespace
