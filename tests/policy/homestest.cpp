#include "policy/fleet.h"
#include "policy/loadquery.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

/// Returns a thread that knows three servers in each of three zones, two of
/// which are in known regions.
std::shared_ptr<BalancerState> makeThread() {
  model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
  Preset.Regions_ = {{"milano-a", "nord-italia"}, {"surat", "gujarat"}};
  Preset.Measuring_.LoadQueryCount_ = 9;
  auto Config = std::make_shared<model::ConfigState>();
  Config->Presets_["test"] = Preset;
  Config->PresetInForce_ = "test";
  for (const std::string Zone : {"milano-a", "surat", "elsewhere"})
    for (unsigned I = 0; I < 3; ++I) {
      const std::string Name = Zone + std::to_string(I);
      Config->Servers_[Name] = {Name,        "vm", "catalogue", Zone,
                                "127.0.0.1", 1000, /*Slots_=*/2};
    }
  model::ControlView View;
  View.Config_ = Config;
  const auto Out = makeBalancer("milano-a", 1, /*Seed=*/7);
  apply(*Out, View, at(0));
  return Out;
}

CallFacts callWithHomes(CallId Id, std::vector<std::string> Homes) {
  model::Route Route = searchRoute();
  Route.Homes_ = std::move(Homes);
  return callAt(Id, at(1000), Route);
}

/// Calls of a route with homes.
class RouteWithHomes : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteWithHomes);
  CPPUNIT_TEST(sendsNoCallToAnotherRegion);
  CPPUNIT_TEST(queriesNoServerOfAnotherRegion);
  CPPUNIT_TEST(refusesAtOnceWithoutAServerInItsHomes);
  CPPUNIT_TEST_SUITE_END();

public:
  void sendsNoCallToAnotherRegion() {
    const auto State = makeThread();
    for (CallId I = 0; I < 200; ++I) {
      CallFacts Call = callWithHomes(I, {"gujarat"});
      const Decision Made = admit(*State, Call, at(1000));
      if (Made.Verdict_ != Verdict::Dispatch)
        continue;
      CPPUNIT_ASSERT_EQUAL(std::string("surat"),
                           serverOf(*State, Made.Server_).Zone_);
      if (I % 3 == 0)
        endAttempt(*State, Call, Made.Server_, AttemptEnd::Broken,
                   model::milliseconds(1), at(1000));
    }
  }

  void queriesNoServerOfAnotherRegion() {
    const auto State = makeThread();
    for (const auto Round :
         {LoadQueryRound::OwnZone, LoadQueryRound::RestOfZone,
          LoadQueryRound::OtherZones})
      for (const ServerHandle Asked : serversToQuery(
               *State, callWithHomes(1, {"gujarat"}), Round, at(1000)))
        CPPUNIT_ASSERT_EQUAL(std::string("surat"),
                             serverOf(*State, Asked).Zone_);
  }

  void refusesAtOnceWithoutAServerInItsHomes() {
    const auto State = makeThread();
    const Decision Made =
        admit(*State, callWithHomes(1, {"mongolia"}), at(1000));
    CPPUNIT_ASSERT(Verdict::Refuse == Made.Verdict_);
    CPPUNIT_ASSERT(model::ResultCode::NotRunNoServer == Made.Reason_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouteWithHomes);

} // namespace
