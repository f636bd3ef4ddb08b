#include "adapters/eventring.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using adapters::EventRing;

namespace {

constexpr std::size_t Capacity = 8;

void recordChange(EventRing &Ring, const std::string &Subject) {
  Ring.record(model::EventKind::ChangeSeen, Subject, 1, model::ResultCode::Ok,
              "");
}

class EventRingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventRingTest);
  CPPUNIT_TEST(keepsTheLatestEventsAndCountsTheOverwrittenOnes);
  CPPUNIT_TEST(ordersAnEffectAfterItsCauseDespiteClockJumps);
  CPPUNIT_TEST_SUITE_END();

public:
  void keepsTheLatestEventsAndCountsTheOverwrittenOnes() {
    EventRing Ring("entry-1", Capacity, [] { return std::uint64_t(1000); });
    for (int I = 0; I < 11; ++I)
      recordChange(Ring, std::to_string(I));
    const std::vector<model::Event> Events = Ring.since(0);
    CPPUNIT_ASSERT_EQUAL(Capacity, Events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("3"), Events.front().Subject_);
    CPPUNIT_ASSERT_EQUAL(std::string("10"), Events.back().Subject_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Ring.dropped());
  }

  void ordersAnEffectAfterItsCauseDespiteClockJumps() {
    const bool Holds =
        rc::check("messages between two processes whose wall clocks jump",
                  [](const std::vector<std::pair<bool, std::uint16_t>> &Steps) {
                    std::uint64_t WallA = 0;
                    std::uint64_t WallB = 0;
                    EventRing A("a", Capacity, [&] { return WallA; });
                    EventRing B("b", Capacity, [&] { return WallB; });
                    for (const auto &[FromA, Wall] : Steps) {
                      (FromA ? WallA : WallB) = Wall;
                      EventRing &Sender = FromA ? A : B;
                      EventRing &Receiver = FromA ? B : A;
                      const model::HybridTime Cause = Sender.now();
                      Receiver.observe(Cause);
                      RC_ASSERT(Cause < Receiver.now());
                    }
                  });
    CPPUNIT_ASSERT(Holds);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventRingTest);

} // namespace
