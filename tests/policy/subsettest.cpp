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

/// What all traffic threads of a fleet together do to each server.
struct FleetUse {
  std::vector<unsigned> Users_;
  std::vector<unsigned> Connections_; ///< highest number that is allowed
  std::vector<double> Load_; ///< when each thread spreads one unit evenly
  std::size_t SmallestSubset_ = SIZE_MAX;
};

FleetUse useOf(const Fleet &Of, unsigned Living) {
  model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
  Preset.Servers_.MaxConnections_ = Of.MaxConnections_;
  model::ControlView View = viewOf(Of.Servers_, 3, Preset, Of.Processes_);
  FleetUse Out;
  Out.Users_.resize(Of.Servers_);
  Out.Connections_.resize(Of.Servers_);
  Out.Load_.resize(Of.Servers_);
  for (unsigned Decider = 0; Decider < Living * Of.Threads_; ++Decider) {
    View.FleetRank_ = Decider / Of.Threads_;
    const auto State =
        makeBalancer("milano-a", Of.Threads_, 1, Decider % Of.Threads_);
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

template <class T> T leastOf(const std::vector<T> &Values) {
  return *std::min_element(Values.begin(), Values.end());
}

template <class T> T mostOf(const std::vector<T> &Values) {
  return *std::max_element(Values.begin(), Values.end());
}

Fleet anyFleet() {
  return {*rc::gen::inRange(1u, 301u), *rc::gen::inRange(1u, 3u),
          *rc::gen::inRange(1u, 101u), *rc::gen::inRange(1u, 301u)};
}

class SharingServersInAFleet : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharingServersInAFleet);
  CPPUNIT_TEST(keepsToTheConnectionLimitAndCoversAllServers);
  CPPUNIT_TEST(coversAllServersWithHalfTheProcessesGone);
  CPPUNIT_TEST(usesServicesWholeWithFourteenProcesses);
  CPPUNIT_TEST(spreadsTheLoadOfThreeHundredProcesses);
  CPPUNIT_TEST(opensNoWarmConnectionOutsideTheSubset);
  CPPUNIT_TEST(staysInTheSubsetWhileItIsOnlyFull);
  CPPUNIT_TEST_SUITE_END();

  void keepsToTheConnectionLimitAndCoversAllServers() {
    CPPUNIT_ASSERT(rc::check([] {
      const Fleet Of = anyFleet();
      const unsigned Deciders = Of.Processes_ * Of.Threads_;
      RC_PRE(Deciders <= Of.MaxConnections_ * Of.Servers_);
      const FleetUse Use = useOf(Of, Of.Processes_);
      RC_ASSERT(Use.SmallestSubset_ >= 1u);
      RC_ASSERT(mostOf(Use.Connections_) <= Of.MaxConnections_);
      if (Deciders < Of.Servers_)
        return; // one server each may then be all that the limit leaves
      RC_ASSERT(leastOf(Use.Users_) >= 1u);
      RC_ASSERT(mostOf(Use.Users_) <= 3 * leastOf(Use.Users_));
    }));
  }

  void coversAllServersWithHalfTheProcessesGone() {
    CPPUNIT_ASSERT(rc::check([] {
      Fleet Of = anyFleet();
      Of.MaxConnections_ = std::max(Of.MaxConnections_, 20u);
      RC_PRE(2 * Of.Processes_ * Of.Threads_ <=
             Of.MaxConnections_ * Of.Servers_);
      const FleetUse Use = useOf(Of, (Of.Processes_ + 1) / 2);
      RC_ASSERT(leastOf(Use.Users_) >= 1u);
    }));
  }

  void usesServicesWholeWithFourteenProcesses() {
    for (const unsigned Servers : {13u, 64u}) {
      const FleetUse Use = useOf({14, 2, Servers, 220}, 14);
      CPPUNIT_ASSERT_EQUAL(std::size_t(Servers), Use.SmallestSubset_);
    }
  }

  void spreadsTheLoadOfThreeHundredProcesses() {
    for (const unsigned Servers : {23u, 64u}) {
      const FleetUse Use = useOf({300, 2, Servers, 220}, 300);
      CPPUNIT_ASSERT(mostOf(Use.Connections_) <= 220);
      CPPUNIT_ASSERT(mostOf(Use.Load_) <= 1.2 * leastOf(Use.Load_));
    }
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

  /// A service that is busy all over must not make every thread open
  /// connections to every server; a subset that is gone must.
  void staysInTheSubsetWhileItIsOnlyFull() {
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
      noteReport(*State, Handle, IsInside(Handle) ? Busy : model::LoadReport{},
                 at(0));
    const Decision Full = admit(*State, callAt(1, at(0)), at(0));
    CPPUNIT_ASSERT(Full.Verdict_ == Verdict::Dispatch);
    CPPUNIT_ASSERT(IsInside(Full.Server_)); // the first is never held back
    model::LoadReport Draining;
    Draining.Draining_ = true;
    for (const ServerHandle Handle : Subset)
      noteReport(*State, Handle, Draining, at(1));
    endAttempt(*State, callAt(1, at(0)), Full.Server_, AttemptEnd::Answered,
               model::milliseconds(1), at(1));
    const Decision Made = admit(*State, callAt(2, at(1)), at(1));
    CPPUNIT_ASSERT(Made.Verdict_ == Verdict::Dispatch);
    CPPUNIT_ASSERT(!IsInside(Made.Server_));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SharingServersInAFleet);

} // namespace
