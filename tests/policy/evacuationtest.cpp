#include "policy/fleet.h"
#include "policy/loadquery.h"
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

constexpr unsigned ServersPerZone = 4;
const std::vector<std::string> Zones{"milano-a", "torino-b", "bologna-c"};

/// One traffic thread in milano-a, and servers in three zones.
class Thread {
public:
  explicit Thread(unsigned LoadQueries = 0) {
    Preset_.Measuring_.ProbesPerSecond_ = 1000;
    Preset_.Measuring_.LoadQueryCount_ = LoadQueries;
    Preset_.Hedge_.Ratio_ = 1;
    setEvacuated({}, 0);
  }

  BalancerState &state() { return *State_; }

  void setEvacuated(const std::set<std::string> &Evacuated, long long Ms) {
    auto Config = std::make_shared<model::ConfigState>();
    Config->Presets_["test"] = Preset_;
    Config->PresetInForce_ = "test";
    Config->EvacuatedZones_ = Evacuated;
    for (const std::string &Zone : Zones)
      for (unsigned I = 0; I < ServersPerZone; ++I) {
        const std::string Name = Zone + "-" + std::to_string(I);
        Config->Servers_[Name] = {Name,        "vm", "catalogue", Zone,
                                  "127.0.0.1", 1000, /*Slots_=*/2};
      }
    model::ControlView View;
    View.Config_ = Config;
    View.ZoneSize_ = 1;
    apply(*State_, View, at(Ms));
  }

  const std::string &zoneOf(ServerHandle Server) const {
    return serverOf(*State_, Server).Zone_;
  }

  /// Sends calls one after the other, each of which ends as given. Returns how
  /// many each zone got.
  std::map<std::string, unsigned> send(unsigned Calls, long long Ms,
                                       AttemptEnd End = AttemptEnd::Answered) {
    std::map<std::string, unsigned> Out;
    for (unsigned I = 0; I < Calls; ++I) {
      CallFacts Call = callAt(++LastCall_, at(Ms));
      const Decision Made = admit(*State_, Call, at(Ms));
      if (Made.Verdict_ != Verdict::Dispatch)
        continue;
      ++Out[zoneOf(Made.Server_)];
      endAttempt(*State_, Call, Made.Server_, End, model::milliseconds(1),
                 at(Ms));
    }
    return Out;
  }

  /// Fills all slots. Returns the verdicts by zone; those that wait under "".
  std::map<std::string, unsigned> fill(unsigned Calls, long long Ms) {
    std::map<std::string, unsigned> Out;
    for (unsigned I = 0; I < Calls; ++I) {
      const Decision Made = admit(*State_, callAt(++LastCall_, at(Ms)), at(Ms));
      if (Made.Verdict_ == Verdict::Dispatch)
        ++Out[zoneOf(Made.Server_)];
      else if (Made.Verdict_ == Verdict::Wait)
        ++Out[""];
    }
    return Out;
  }

private:
  model::Preset Preset_ = presetWith(model::PickMethod::ExpectedWait);
  std::shared_ptr<BalancerState> State_ =
      makeBalancer("milano-a", 1, /*Seed=*/7);
  CallId LastCall_ = 0;
};

class EvacuatedZone : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuatedZone);
  CPPUNIT_TEST(getsNoCall);
  CPPUNIT_TEST(getsNoCallThatWaited);
  CPPUNIT_TEST(getsNoRetryAndNoHedge);
  CPPUNIT_TEST(getsNoCallWhenAllOtherServersFail);
  CPPUNIT_TEST(getsNoProbeAndNoLoadQuery);
  CPPUNIT_TEST(leavesTheLoadQueriesToTheOtherZones);
  CPPUNIT_TEST(refusesCallsAtOnceWhenNoOtherZoneIsLeft);
  CPPUNIT_TEST(mayBeOneOfTwo);
  CPPUNIT_TEST(returnsGradually);
  CPPUNIT_TEST(getsNothingHoweverViewsAndCallsFollow);
  CPPUNIT_TEST_SUITE_END();

public:
  void getsNoCall() {
    Thread Used;
    CPPUNIT_ASSERT_EQUAL(1U, static_cast<unsigned>(Used.send(50, 0).size()));
    Used.setEvacuated({"milano-a"}, 10);
    const auto Calls = Used.send(100, 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Calls.count("milano-a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Calls.size());
  }

  void getsNoCallThatWaited() {
    Thread Used;
    const auto Before = Used.fill(200, 0);
    CPPUNIT_ASSERT(Before.at("") > 0);
    Used.setEvacuated({"milano-a"}, 1);
    for (const Release &Released : releaseWaiting(Used.state(), at(2)))
      if (Released.Decision_.Verdict_ == Verdict::Dispatch)
        CPPUNIT_ASSERT(Used.zoneOf(Released.Decision_.Server_) != "milano-a");
  }

  void getsNoRetryAndNoHedge() {
    Thread Used;
    Used.send(300, 0);
    Used.setEvacuated({"milano-a"}, 10);
    for (CallId I = 0; I < 50; ++I) {
      CallFacts Call = callAt(10000 + I, at(20));
      const Decision First = admit(Used.state(), Call, at(20));
      CPPUNIT_ASSERT(First.Verdict_ == Verdict::Dispatch);
      Call.Attempts_ = 1;
      Call.Tried_ = {First.Server_};
      if (const auto Hedge = tryHedge(Used.state(), Call, at(21))) {
        CPPUNIT_ASSERT(Used.zoneOf(*Hedge) != "milano-a");
        endAttempt(Used.state(), Call, *Hedge, AttemptEnd::Cancelled,
                   model::milliseconds(1), at(22));
      }
      endAttempt(Used.state(), Call, First.Server_, AttemptEnd::Shed,
                 model::milliseconds(1), at(22));
      const Decision Retry = admit(Used.state(), Call, at(22));
      if (Retry.Verdict_ != Verdict::Dispatch)
        continue;
      CPPUNIT_ASSERT(Used.zoneOf(Retry.Server_) != "milano-a");
      endAttempt(Used.state(), Call, Retry.Server_, AttemptEnd::Answered,
                 model::milliseconds(1), at(23));
    }
  }

  void getsNoCallWhenAllOtherServersFail() {
    Thread Used;
    Used.setEvacuated({"milano-a"}, 0);
    for (long long Ms = 0; Ms < 2000; Ms += 10)
      CPPUNIT_ASSERT_EQUAL(
          std::size_t(0),
          Used.send(3, Ms, AttemptEnd::Broken).count("milano-a"));
  }

  void getsNoProbeAndNoLoadQuery() {
    Thread Used(/*LoadQueries=*/5);
    Used.setEvacuated({"milano-a", "torino-b"}, 0);
    for (long long Ms = 2000; Ms < 4000; Ms += 20) {
      for (const DueProbe &Due : dueProbes(Used.state(), at(Ms)))
        CPPUNIT_ASSERT_EQUAL(std::string("bologna-c"),
                             Used.zoneOf(Due.Server_));
      for (const auto Round :
           {LoadQueryRound::OwnZone, LoadQueryRound::RestOfZone,
            LoadQueryRound::OtherZones})
        for (const ServerHandle Asked :
             serversToQuery(Used.state(), callAt(5, at(Ms)), Round, at(Ms)))
          CPPUNIT_ASSERT_EQUAL(std::string("bologna-c"), Used.zoneOf(Asked));
    }
  }

  void leavesTheLoadQueriesToTheOtherZones() {
    Thread Used(/*LoadQueries=*/3);
    Used.setEvacuated({"milano-a"}, 0);
    const CallFacts Call = callAt(1, at(1000));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(3),
        serversToQuery(Used.state(), Call, LoadQueryRound::OwnZone, at(1000))
            .size());
    CPPUNIT_ASSERT(!hasResponsiveServerInZone(Used.state(), Call, at(1000)));
    model::LoadReport Idle;
    Idle.Slots_ = 2;
    for (ServerHandle Server = 0; Server < Zones.size() * ServersPerZone;
         ++Server)
      if (Used.zoneOf(Server) == "torino-b")
        recordReport(Used.state(), Server, Idle, at(1001));
    CPPUNIT_ASSERT(hasResponsiveServerInZone(Used.state(), Call, at(1002)));
  }

  void refusesCallsAtOnceWhenNoOtherZoneIsLeft() {
    Thread Used;
    Used.setEvacuated({"milano-a", "torino-b", "bologna-c"}, 0);
    const Decision Made = admit(Used.state(), callAt(1, at(10)), at(10));
    CPPUNIT_ASSERT(Verdict::Refuse == Made.Verdict_);
    CPPUNIT_ASSERT(model::ResultCode::NotRunNoServer == Made.Reason_);
  }

  void mayBeOneOfTwo() {
    Thread Used;
    Used.setEvacuated({"milano-a", "torino-b"}, 0);
    Used.setEvacuated({"torino-b"}, 10);
    const auto Calls = Used.send(100, 5000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Calls.count("torino-b"));
    CPPUNIT_ASSERT(Calls.count("milano-a") > 0);
  }

  /// Right after its return a zone gets fewer calls than later.
  void returnsGradually() {
    const auto ShareAfterReturn = [](long long Ms) {
      Thread Used;
      Used.setEvacuated({"milano-a"}, 0);
      Used.setEvacuated({}, 1000);
      const auto Calls = Used.fill(12, 1000 + Ms);
      const auto Own = Calls.find("milano-a");
      return Own == Calls.end() ? 0U : Own->second;
    };
    CPPUNIT_ASSERT(ShareAfterReturn(1) < ShareAfterReturn(5000));
  }

  void getsNothingHoweverViewsAndCallsFollow() {
    CPPUNIT_ASSERT(rc::check("no call reaches an evacuated zone", [] {
      Thread Used(*rc::gen::inRange(0U, 6U));
      std::set<std::string> Evacuated;
      long long Ms = 0;
      for (int I = 0; I < 60; ++I) {
        Ms += *rc::gen::inRange(1, 400);
        const std::string Zone = *rc::gen::elementOf(Zones);
        if (*rc::gen::inRange(0, 4) == 0) {
          if (Evacuated.erase(Zone) == 0)
            Evacuated.insert(Zone);
          Used.setEvacuated(Evacuated, Ms);
        }
        const auto End = *rc::gen::element(
            AttemptEnd::Answered, AttemptEnd::Shed, AttemptEnd::Broken);
        for (const auto &Entry : Used.send(5, Ms, End))
          RC_ASSERT(Evacuated.count(Entry.first) == 0U);
        for (const DueProbe &Due : dueProbes(Used.state(), at(Ms)))
          RC_ASSERT(Evacuated.count(Used.zoneOf(Due.Server_)) == 0U);
      }
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuatedZone);

} // namespace
