#include "policy/balancerstate.h"
#include "policy/fleet.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

struct Fleet {
  unsigned Processes_ = 14;
  unsigned Threads_ = 2;
  unsigned Servers_ = 13;
  unsigned MaxConnections_ = 220;
};

/// How the traffic threads of a fleet together use each server.
struct FleetUse {
  std::vector<unsigned> Users_;
  std::vector<unsigned> Connections_; ///< limits of its users, added up
  std::vector<double> Load_; ///< load when each thread spreads one unit evenly
  std::size_t SmallestSubset_ = SIZE_MAX;
};

/// Cuts the subsets of all traffic threads in the first \p LiveProcesses
/// processes of a fleet and adds up their use of each server.
FleetUse useOf(const Fleet &Shape, unsigned LiveProcesses) {
  model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
  Preset.Servers_.MaxConnections_ = Shape.MaxConnections_;
  model::ControlView View = viewOf(Shape.Servers_, 3, Preset, Shape.Processes_);
  FleetUse Out;
  Out.Users_.resize(Shape.Servers_);
  Out.Connections_.resize(Shape.Servers_);
  Out.Load_.resize(Shape.Servers_);
  for (unsigned Thread = 0; Thread < LiveProcesses * Shape.Threads_; ++Thread) {
    View.FleetRank_ = Thread / Shape.Threads_;
    const auto State =
        makeBalancer("milano-a", Shape.Threads_, 1, Thread % Shape.Threads_);
    apply(*State, View, at(0));
    const auto &Subset = State->Services_.front().Subset_;
    Out.SmallestSubset_ = std::min(Out.SmallestSubset_, Subset.size());
    for (const ServerHandle Handle : Subset) {
      ++Out.Users_[Handle];
      Out.Connections_[Handle] += connectionShare(*State, Handle).Limit_;
      Out.Load_[Handle] += 1.0 / static_cast<double>(Subset.size());
    }
  }
  return Out;
}

template <class T> T minOf(const std::vector<T> &Values) {
  return *std::min_element(Values.begin(), Values.end());
}

template <class T> T maxOf(const std::vector<T> &Values) {
  return *std::max_element(Values.begin(), Values.end());
}

unsigned limitOf(const BalancerState &State, const std::string &Server) {
  return connectionShare(State, *findServer(State, Server, "vm-" + Server))
      .Limit_;
}

Fleet randomFleet() {
  return {*rc::gen::inRange(1u, 301u), *rc::gen::inRange(1u, 3u),
          *rc::gen::inRange(1u, 101u), *rc::gen::inRange(1u, 301u)};
}

class SharingServersInAFleet : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharingServersInAFleet);
  CPPUNIT_TEST(keepsToTheConnectionLimitAndCoversAllServers);
  CPPUNIT_TEST(coversAllServersWithHalfTheProcessesGone);
  CPPUNIT_TEST(usesAllServersWithFourteenProcesses);
  CPPUNIT_TEST(spreadsTheLoadOfThreeHundredProcesses);
  CPPUNIT_TEST(limitsConnectionsToEachServiceByItsOwnLimit);
  CPPUNIT_TEST(opensNoWarmConnectionOutsideTheSubset);
  CPPUNIT_TEST(staysInAFullSubset);
  CPPUNIT_TEST_SUITE_END();

  void keepsToTheConnectionLimitAndCoversAllServers() {
    CPPUNIT_ASSERT(rc::check([] {
      const Fleet Shape = randomFleet();
      const unsigned FleetThreads = Shape.Processes_ * Shape.Threads_;
      RC_PRE(FleetThreads <= Shape.MaxConnections_ * Shape.Servers_);
      const FleetUse Use = useOf(Shape, Shape.Processes_);
      RC_ASSERT(Use.SmallestSubset_ >= 1u);
      RC_ASSERT(maxOf(Use.Connections_) <= Shape.MaxConnections_);
      if (FleetThreads < Shape.Servers_)
        return; // one server for each thread may be all that the limit allows
      RC_ASSERT(minOf(Use.Users_) >= 1u);
      RC_ASSERT(maxOf(Use.Users_) <= 3 * minOf(Use.Users_));
    }));
  }

  void coversAllServersWithHalfTheProcessesGone() {
    CPPUNIT_ASSERT(rc::check([] {
      Fleet Shape = randomFleet();
      Shape.MaxConnections_ = std::max(Shape.MaxConnections_, 20u);
      RC_PRE(2 * Shape.Processes_ * Shape.Threads_ <=
             Shape.MaxConnections_ * Shape.Servers_);
      const FleetUse Use = useOf(Shape, (Shape.Processes_ + 1) / 2);
      RC_ASSERT(minOf(Use.Users_) >= 1u);
    }));
  }

  void usesAllServersWithFourteenProcesses() {
    for (const unsigned Servers : {13u, 64u}) {
      const FleetUse Use = useOf({14, 2, Servers, 220}, 14);
      CPPUNIT_ASSERT_EQUAL(std::size_t(Servers), Use.SmallestSubset_);
    }
  }

  void spreadsTheLoadOfThreeHundredProcesses() {
    for (const unsigned Servers : {23u, 64u}) {
      const FleetUse Use = useOf({300, 2, Servers, 220}, 300);
      CPPUNIT_ASSERT(maxOf(Use.Connections_) <= 220);
      CPPUNIT_ASSERT(maxOf(Use.Load_) <= 1.2 * minOf(Use.Load_));
    }
  }

  void limitsConnectionsToEachServiceByItsOwnLimit() {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Services_ = {{"rights", "", 0, 28}};
    model::ControlView View = viewOf(4, 3, Preset);
    auto Config = std::make_shared<model::ConfigState>(*View.Config_);
    Config->Servers_.at("s1").Service_ = "rights";
    View.Config_ = Config;
    const auto State = makeBalancer("milano-a", 2, 1, 0);
    apply(*State, View, at(0));
    CPPUNIT_ASSERT_EQUAL(220u / 28, limitOf(*State, "s0"));
    CPPUNIT_ASSERT_EQUAL(1u, limitOf(*State, "s1"));
    // a new version of the configuration changes the limit of one service
    Preset.Services_[0].MaxConnections_ = 84;
    Config = std::make_shared<model::ConfigState>(*Config);
    Config->Presets_["test"] = Preset;
    View.Config_ = Config;
    apply(*State, View, at(1));
    CPPUNIT_ASSERT_EQUAL(220u / 28, limitOf(*State, "s0"));
    CPPUNIT_ASSERT_EQUAL(3u, limitOf(*State, "s1"));
  }

  void opensNoWarmConnectionOutsideTheSubset() {
    const auto State = makeBalancer("milano-a", 2, 1, 0);
    apply(*State,
          viewOf(23, 3, presetWith(model::PickMethod::ExpectedWait), 300),
          at(0));
    const auto &Subset = State->Services_.front().Subset_;
    for (ServerHandle Handle = 0; Handle < 23; ++Handle) {
      const bool Inside =
          std::find(Subset.begin(), Subset.end(), Handle) != Subset.end();
      const ConnectionShare Share = connectionShare(*State, Handle);
      CPPUNIT_ASSERT_EQUAL(1u, Share.Limit_);
      CPPUNIT_ASSERT_EQUAL(Inside ? 1u : 0u, Share.Warm_);
    }
  }

  /// When all servers of a service are busy, threads must not open connections
  /// to every server. When the whole subset is draining, they must.
  void staysInAFullSubset() {
    const auto State = makeBalancer("milano-a", 2, 1, 0);
    apply(*State,
          viewOf(23, 3, presetWith(model::PickMethod::ExpectedWait), 300),
          at(0));
    const auto Subset = State->Services_.front().Subset_;
    const auto IsInside = [&](ServerHandle Handle) {
      return std::find(Subset.begin(), Subset.end(), Handle) != Subset.end();
    };
    model::LoadReport Busy;
    Busy.Slots_ = 3;
    Busy.InFlight_ = 3;
    Busy.Queued_ = 1000;
    for (ServerHandle Handle = 0; Handle < 23; ++Handle)
      recordReport(*State, Handle,
                   IsInside(Handle) ? Busy : model::LoadReport{}, at(0));
    const Decision Full = admit(*State, callAt(1, at(0)), at(0));
    CPPUNIT_ASSERT(Full.Verdict_ == Verdict::Dispatch);
    // The first call in flight is never held back.
    CPPUNIT_ASSERT(IsInside(Full.Server_));
    model::LoadReport Draining;
    Draining.Draining_ = true;
    for (const ServerHandle Handle : Subset)
      recordReport(*State, Handle, Draining, at(1));
    endAttempt(*State, callAt(1, at(0)), Full.Server_, AttemptEnd::Answered,
               model::milliseconds(1), at(1));
    const Decision Made = admit(*State, callAt(2, at(1)), at(1));
    CPPUNIT_ASSERT(Made.Verdict_ == Verdict::Dispatch);
    CPPUNIT_ASSERT(!IsInside(Made.Server_));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SharingServersInAFleet);

} // namespace
