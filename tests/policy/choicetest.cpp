#include "policy/fleet.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

model::Preset presetWith(model::PickMethod Pick) {
  model::Preset Out;
  Out.Name_ = "test";
  Out.Pick_ = Pick;
  return Out;
}

const std::vector<model::PickMethod> AllMethods = {
    model::PickMethod::Random, model::PickMethod::RoundRobin,
    model::PickMethod::LeastInFlightOfTwo, model::PickMethod::ExpectedWait};

class ChoosingAServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChoosingAServer);
  CPPUNIT_TEST(neverTakesALeavingServer);
  CPPUNIT_TEST_SUITE_END();

public:
  void neverTakesALeavingServer() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Method = *rc::gen::elementOf(AllMethods);
      const unsigned Count = *rc::gen::inRange(2u, 20u);
      const unsigned Leaving = *rc::gen::inRange(0u, Count);
      model::ControlView View = viewOf(Count, 3, presetWith(Method));
      View.LeavingServers_ = {"s" + std::to_string(Leaving)};
      const auto State =
          makeBalancer("milano-a", 1, *rc::gen::arbitrary<int>());
      apply(*State, View, at(0));
      for (CallId Id = 0; Id < 50; ++Id) {
        const CallFacts Call = callAt(Id, at(static_cast<long long>(Id)));
        const Decision Made = admit(*State, Call, Call.Arrived_);
        RC_ASSERT(Made.Verdict_ == Verdict::Dispatch);
        RC_ASSERT(serverOf(*State, Made.Server_).Name_ !=
                  *View.LeavingServers_.begin());
        endAttempt(*State, Call, Made.Server_, AttemptEnd::Answered,
                   model::milliseconds(1), Call.Arrived_);
      }
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChoosingAServer);

} // namespace
