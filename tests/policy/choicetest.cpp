#include "policy/balancerstate.h"
#include "policy/fleet.h"
#include "policy/subset.h"
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

const std::vector<model::PickMethod> AllMethods = {
    model::PickMethod::Random, model::PickMethod::RoundRobin,
    model::PickMethod::LeastInFlightOfTwo, model::PickMethod::ExpectedWait};

constexpr unsigned Slots = 3;

model::LoadReport reportOf(unsigned InFlight, unsigned Queued) {
  model::LoadReport Report;
  Report.InFlight_ = InFlight;
  Report.Queued_ = Queued;
  Report.Slots_ = Slots;
  return Report;
}

class ChoosingAServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChoosingAServer);
  CPPUNIT_TEST(neverChoosesALeavingServer);
  CPPUNIT_TEST(neverChoosesADrainingServer);
  CPPUNIT_TEST(neverChoosesAFullServerWhileAnotherIsUsable);
  CPPUNIT_TEST(neverChoosesATriedServerWhileAnotherIsUsable);
  CPPUNIT_TEST(sendsEqualServersEqualShares);
  CPPUNIT_TEST(prefersItsOwnZoneUntilWaitingCostsMore);
  CPPUNIT_TEST(rampsUpTheLoadOfAColdServer);
  CPPUNIT_TEST(coversEveryServerByTheSubsetsOfAllProcesses);
  CPPUNIT_TEST_SUITE_END();

  using ServerAction = std::function<void(BalancerState &, ServerHandle)>;

  /// Makes one server unusable by \p MakeUnusable and checks that it gets no
  /// call.
  static void assertNeverChosen(const ServerAction &MakeUnusable) {
    CPPUNIT_ASSERT(rc::check([&] {
      const auto Method = *rc::gen::elementOf(AllMethods);
      const unsigned Count = *rc::gen::inRange(2u, 100u);
      const unsigned UnusableIndex = *rc::gen::inRange(0u, Count);
      const auto State =
          makeBalancer("milano-a", 1, *rc::gen::arbitrary<int>());
      apply(*State, viewOf(Count, Slots, presetWith(Method), 1), at(0));
      const std::string Name = "s" + std::to_string(UnusableIndex);
      const ServerHandle Handle = *findServer(*State, Name, "vm-" + Name);
      for (CallId Id = 0; Id < 60; ++Id) {
        MakeUnusable(*State, Handle);
        const CallFacts Call = callAt(Id, at(0));
        const Decision Made = admit(*State, Call, at(0));
        RC_ASSERT(Made.Verdict_ == Verdict::Dispatch);
        RC_ASSERT(Made.Server_ != Handle);
        endAttempt(*State, Call, Made.Server_, AttemptEnd::Answered,
                   model::milliseconds(1), at(0));
      }
    }));
  }

public:
  void neverChoosesALeavingServer() {
    assertNeverChosen([](BalancerState &State, ServerHandle Handle) {
      model::ControlView View = *State.View_;
      View.LeavingServers_ = {serverOf(State, Handle).Name_};
      apply(State, View, at(0));
    });
  }

  void neverChoosesADrainingServer() {
    assertNeverChosen([](BalancerState &State, ServerHandle Handle) {
      model::LoadReport Report;
      Report.Draining_ = true;
      recordReport(State, Handle, Report, at(0));
    });
  }

  void neverChoosesAFullServerWhileAnotherIsUsable() {
    assertNeverChosen([](BalancerState &State, ServerHandle Handle) {
      static unsigned More = 0; // an unchanged backlog would count as stuck
      recordReport(State, Handle, reportOf(Slots, 3 * Slots + ++More % 2),
                   at(0));
    });
  }

  void neverChoosesATriedServerWhileAnotherIsUsable() {
    CPPUNIT_ASSERT(rc::check([] {
      const auto Method = *rc::gen::elementOf(AllMethods);
      const unsigned Count = *rc::gen::inRange(2u, 20u);
      const auto State =
          makeBalancer("milano-a", 1, *rc::gen::arbitrary<int>());
      apply(*State, viewOf(Count, Slots, presetWith(Method), 1), at(0));
      CallFacts Call = callAt(1, at(0));
      for (unsigned Attempt = 0; Attempt < Count; ++Attempt) {
        const Decision Made = admit(*State, Call, at(0));
        RC_ASSERT(Made.Verdict_ == Verdict::Dispatch);
        RC_ASSERT(std::count(Call.Tried_.begin(), Call.Tried_.end(),
                             Made.Server_) == 0);
        Call.Tried_.push_back(Made.Server_);
        ++Call.Attempts_;
      }
    }));
  }

  /// Expects 400 calls for each server; the bounds are six standard deviations
  /// away.
  void sendsEqualServersEqualShares() {
    for (const model::PickMethod Method : AllMethods) {
      constexpr unsigned Count = 13;
      constexpr unsigned Calls = 400 * Count;
      const auto State = makeBalancer("milano-a", 1, 5);
      apply(*State, viewOf(Count, Slots, presetWith(Method), 1), at(0));
      std::map<ServerHandle, unsigned> CallsByServer;
      for (CallId Id = 0; Id < Calls; ++Id) {
        const auto Now = at(static_cast<long long>(Id));
        const CallFacts Call = callAt(Id, Now);
        const Decision Made = admit(*State, Call, Now);
        ++CallsByServer[Made.Server_];
        endAttempt(*State, Call, Made.Server_, AttemptEnd::Answered,
                   model::milliseconds(1), Now);
      }
      for (const auto &Entry : CallsByServer)
        CPPUNIT_ASSERT(Entry.second > 280 && Entry.second < 520);
      CPPUNIT_ASSERT_EQUAL(std::size_t{Count}, CallsByServer.size());
    }
  }

  void prefersItsOwnZoneUntilWaitingCostsMore() {
    const auto State = makeBalancer("milano-a", 1, 5);
    model::ControlView View =
        viewOf(2, Slots, presetWith(model::PickMethod::ExpectedWait), 1);
    auto Config = std::make_shared<model::ConfigState>(*View.Config_);
    Config->Servers_["s1"].Zone_ = "torino-b";
    View.Config_ = Config;
    apply(*State, View, at(0));
    const ServerHandle Near = *findServer(*State, "s0", "vm-s0");
    recordReport(*State, Near, reportOf(0, 0), at(0));
    recordReport(*State, Near + 1, reportOf(0, 0), at(0));
    CPPUNIT_ASSERT_EQUAL(Near, admit(*State, callAt(1, at(0)), at(0)).Server_);
    recordReport(*State, Near, reportOf(Slots, 2), at(0));
    CPPUNIT_ASSERT(Near != admit(*State, callAt(2, at(0)), at(0)).Server_);
  }

  void rampsUpTheLoadOfAColdServer() {
    const auto State = makeBalancer("milano-a", 1, 5);
    const model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    apply(*State, viewOf(4, Slots, Preset, 1), at(1000));
    apply(*State, viewOf(5, Slots, Preset, 1), at(1000));
    const ServerHandle Cold = *findServer(*State, "s4", "vm-s4");
    const auto CallsToColdServer = [&](long long Ms) {
      unsigned Sent = 0;
      std::vector<std::pair<CallFacts, ServerHandle>> Running;
      for (CallId Id = 0; Id < 12; ++Id) {
        const CallFacts Call = callAt(Id, at(Ms));
        const Decision Made = admit(*State, Call, at(Ms));
        Sent += Made.Server_ == Cold;
        Running.emplace_back(Call, Made.Server_);
      }
      for (const auto &One : Running)
        endAttempt(*State, One.first, One.second, AttemptEnd::Answered,
                   model::milliseconds(1), at(Ms));
      return Sent;
    };
    CPPUNIT_ASSERT(CallsToColdServer(1010) <= 1);
    CPPUNIT_ASSERT(CallsToColdServer(10000) >= 2);
  }

  void coversEveryServerByTheSubsetsOfAllProcesses() {
    CPPUNIT_ASSERT(rc::check([] {
      const unsigned Servers = *rc::gen::inRange(1u, 1200u);
      const unsigned Processes = *rc::gen::inRange(1u, 200u);
      std::vector<RingEntry> Ring;
      for (unsigned Handle = 0; Handle < Servers; ++Handle)
        Ring.push_back({Handle, *rc::gen::arbitrary<std::uint64_t>()});
      std::set<std::uint32_t> Reached;
      for (unsigned Rank = 0; Rank < Processes; ++Rank) {
        // A process may take the fleet for up to twice as large as it is.
        const unsigned Seen = *rc::gen::inRange(Processes, 2 * Processes + 1);
        for (const std::uint32_t Handle : subsetOf(Ring, {Seen, Rank}))
          Reached.insert(Handle);
      }
      RC_ASSERT(Reached.size() == Servers);
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ChoosingAServer);

} // namespace
