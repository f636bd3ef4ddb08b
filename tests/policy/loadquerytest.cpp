#include "policy/loadquery.h"
#include "policy/fleet.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

/// Returns a view with servers in two availability zones, where load queries
/// are on.
/// \param Near servers in the zone of the balancer.
/// \param Far servers in the other zone.
/// \param Width servers that are queried at once.
model::ControlView twoZones(unsigned Near, unsigned Far, unsigned Width) {
  model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
  Preset.Measuring_.LoadQueryCount_ = Width;
  Preset.Measuring_.ReportRelaxation_ = model::milliseconds(60);
  model::ControlView View = viewOf(Near + Far, 3, Preset);
  auto Config = std::make_shared<model::ConfigState>(*View.Config_);
  for (unsigned I = Near; I < Near + Far; ++I)
    Config->Servers_["s" + std::to_string(I)].Zone_ = "torino-b";
  View.Config_ = Config;
  return View;
}

model::LoadReport report(unsigned Running, unsigned PacePercent) {
  model::LoadReport Out;
  Out.InFlight_ = Running;
  Out.Slots_ = 3;
  Out.PacePercent_ = PacePercent;
  return Out;
}

class QueryingLoadBeforeACall : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueryingLoadBeforeACall);
  CPPUNIT_TEST(queriesOnlyServersOfTheZonesOfTheRound);
  CPPUNIT_TEST(queriesTheRestOfTheZoneBeforeOtherZones);
  CPPUNIT_TEST(queriesNoServerWithAFreshReport);
  CPPUNIT_TEST(queriesNoServerWhileAQueryIsPending);
  CPPUNIT_TEST(findsAResponsiveServerInTheZone);
  CPPUNIT_TEST(choosesTheServerAtItsUsualPace);
  CPPUNIT_TEST(avoidsAServerThatDoesNotAnswerQueries);
  CPPUNIT_TEST(avoidsAServerWithoutARecentReport);
  CPPUNIT_TEST_SUITE_END();

  std::shared_ptr<BalancerState> Balancer_ =
      makeBalancer("milano-a", 1, /*Seed=*/7, 0);

  std::set<ServerHandle> query(LoadQueryRound Round, model::TimePoint Now) {
    const auto Queried = serversToQuery(*Balancer_, callAt(1, Now), Round, Now);
    return {Queried.begin(), Queried.end()};
  }

  ServerHandle handle(const std::string &Name) {
    return *findServer(*Balancer_, Name, "vm-" + Name);
  }

public:
  void queriesOnlyServersOfTheZonesOfTheRound() {
    apply(*Balancer_, twoZones(4, 5, 5), at(0));
    const auto Near = query(LoadQueryRound::OwnZone, at(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Near.size());
    for (const ServerHandle Handle : Near)
      CPPUNIT_ASSERT_EQUAL(std::string("milano-a"),
                           serverOf(*Balancer_, Handle).Zone_);
    for (const ServerHandle Handle :
         query(LoadQueryRound::OtherZones, at(1000)))
      CPPUNIT_ASSERT_EQUAL(std::string("torino-b"),
                           serverOf(*Balancer_, Handle).Zone_);
  }

  void queriesTheRestOfTheZoneBeforeOtherZones() {
    apply(*Balancer_, twoZones(8, 8, 5), at(0));
    const auto First = query(LoadQueryRound::OwnZone, at(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), First.size());
    const auto Rest = query(*nextQueryRound(LoadQueryRound::OwnZone), at(1001));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Rest.size());
    for (const ServerHandle Handle : Rest) {
      CPPUNIT_ASSERT(!First.count(Handle));
      CPPUNIT_ASSERT_EQUAL(std::string("milano-a"),
                           serverOf(*Balancer_, Handle).Zone_);
    }
    const auto Far =
        query(*nextQueryRound(LoadQueryRound::RestOfZone), at(1002));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Far.size());
    CPPUNIT_ASSERT(!nextQueryRound(LoadQueryRound::OtherZones));
  }

  void queriesNoServerWithAFreshReport() {
    apply(*Balancer_, twoZones(3, 0, 5), at(0));
    recordReport(*Balancer_, handle("s1"), report(0, 100), at(995));
    const auto Queried = query(LoadQueryRound::OwnZone, at(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Queried.size());
    CPPUNIT_ASSERT(!Queried.count(handle("s1")));
  }

  void queriesNoServerWhileAQueryIsPending() {
    apply(*Balancer_, twoZones(3, 0, 5), at(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                         query(LoadQueryRound::OwnZone, at(1000)).size());
    CPPUNIT_ASSERT(query(LoadQueryRound::OwnZone, at(1001)).empty());
  }

  void findsAResponsiveServerInTheZone() {
    apply(*Balancer_, twoZones(2, 2, 5), at(0));
    const CallFacts Call = callAt(1, at(1000));
    recordReport(*Balancer_, handle("s0"), report(0, 400), at(1000));
    recordReport(*Balancer_, handle("s1"), report(3, 100), at(1000));
    CPPUNIT_ASSERT(!hasResponsiveServerInZone(*Balancer_, Call, at(1000)));
    recordReport(*Balancer_, handle("s1"), report(1, 100), at(1001));
    CPPUNIT_ASSERT(hasResponsiveServerInZone(*Balancer_, Call, at(1001)));
  }

  void choosesTheServerAtItsUsualPace() {
    CPPUNIT_ASSERT(rc::check("whichever it is", [] {
      const auto State =
          makeBalancer("milano-a", 1, *rc::gen::arbitrary<unsigned>(), 0);
      apply(*State, twoZones(4, 0, 5), at(0));
      const unsigned Good = *rc::gen::inRange(0U, 4U);
      for (unsigned I = 0; I < 4; ++I) {
        const std::string Name = "s" + std::to_string(I);
        recordReport(*State, *findServer(*State, Name, "vm-" + Name),
                     report(0, I == Good ? 100 : 400), at(1000));
      }
      const Decision Made = admit(*State, callAt(1, at(1000)), at(1000));
      RC_ASSERT(Made.Verdict_ == Verdict::Dispatch);
      RC_ASSERT(serverOf(*State, Made.Server_).Name_ ==
                "s" + std::to_string(Good));
    }));
  }

  void avoidsAServerThatDoesNotAnswerQueries() {
    apply(*Balancer_, twoZones(2, 0, 5), at(0));
    query(LoadQueryRound::OwnZone, at(1000));
    recordReport(*Balancer_, handle("s0"), report(0, 150), at(1002));
    const Decision Made = admit(*Balancer_, callAt(1, at(1004)), at(1004));
    CPPUNIT_ASSERT_EQUAL(handle("s0"), Made.Server_);
  }

  /// Both servers are rather busy, but a recent report is known of only one.
  void avoidsAServerWithoutARecentReport() {
    apply(*Balancer_, twoZones(2, 0, 5), at(0));
    for (const std::string Name : {"s0", "s1"})
      for (int I = 0; I < 100; ++I)
        recordReport(*Balancer_, handle(Name), report(I % 2 ? 2 : 3, 100),
                     at(500 + I));
    recordReport(*Balancer_, handle("s0"), report(1, 200), at(1000));
    const Decision Made = admit(*Balancer_, callAt(1, at(1001)), at(1001));
    CPPUNIT_ASSERT_EQUAL(handle("s0"), Made.Server_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(QueryingLoadBeforeACall);

} // namespace
