#include "policy/coldservers.h"
#include "policy/fleet.h"
#include "policy/loadquery.h"
#include "policy/notices.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <map>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

constexpr double ColdRate = 6.1; ///< calls a second that a cold server bears
constexpr double Overshoot = 1.5;
constexpr double Slack = 8;
constexpr unsigned Limit = 17; ///< calls within any second, from these
constexpr long long ColdMs = 3000;
constexpr long long ConnectMs = 200; ///< longest wait for a connection
constexpr long long StepMs = 50;
/// Time at which the cold servers of a Fleet become cold, in ms. Its processes
/// have started before.
constexpr long long ColdAtMs = 100000;
constexpr long long StartMs = -2000; ///< from then on

using Processes = std::vector<model::ProcessPlace>;

/// Returns a list of processes in three zones.
Processes processes(unsigned Count) {
  Processes Out;
  for (unsigned I = 0; I < Count; ++I)
    Out.push_back(
        {"front-" + std::to_string(I), "zone-" + std::to_string(I % 3)});
  return Out;
}

model::Preset coldPreset() {
  model::Preset Out = presetWith(model::PickMethod::ExpectedWait);
  Out.Services_ = {{"catalogue", "", ColdRate}};
  Out.Cold_ = {Overshoot, Slack};
  Out.Servers_.ConnectTimeout_ = model::milliseconds(ConnectMs);
  return Out;
}

/// Returns a view with warm servers and cold ones, c0, c1, ..., all in zone-0.
model::ControlView viewFor(const model::ProcessPlace &Self,
                           const std::shared_ptr<const Processes> &Known,
                           unsigned Warm, unsigned Cold,
                           long long ColdFor = ColdMs) {
  auto Config = std::make_shared<model::ConfigState>();
  Config->Presets_["test"] = coldPreset();
  Config->PresetInForce_ = "test";
  const auto Add = [&](const std::string &Name, long long Time) {
    Config->Servers_[Name] = {
        Name,        "vm-" + Name, "catalogue",  "zone-0",
        "127.0.0.1", 1000,         /*Slots_=*/4, model::milliseconds(Time)};
  };
  for (unsigned I = 0; I < Warm; ++I)
    Add("w" + std::to_string(I), 0);
  for (unsigned I = 0; I < Cold; ++I)
    Add("c" + std::to_string(I), ColdFor);
  model::ControlView View;
  View.Config_ = Config;
  View.Processes_ = Known;
  View.Process_ = Self.Process_;
  View.FleetSize_ = static_cast<unsigned>(Known->size());
  return View;
}

/// Calls that reach each cold server, in virtual time. Each process has more
/// calls than it can place.
class Fleet {
public:
  struct Arrival {
    long long SentMs_;
    long long ArrivedMs_;
  };

  explicit Fleet(unsigned Size, unsigned Warm = 0, unsigned Cold = 1)
      : All_(processes(Size)), Warm_(Warm), Cold_(Cold) {
    const auto Known = std::make_shared<const Processes>(All_);
    for (unsigned I = 0; I < Size; ++I)
      Lists_.push_back(Known);
    States_.resize(Size);
  }

  /// Gives a process another list of processes than the others.
  void setList(unsigned Process, std::shared_ptr<const Processes> Known) {
    Lists_[Process] = std::move(Known);
  }

  void start(unsigned Process, long long Ms) {
    States_[Process] = makeBalancer(All_[Process].Zone_, 1, /*Seed=*/Process);
    apply(*States_[Process],
          viewFor(All_[Process], Lists_[Process], Warm_, Cold_, ColdMs - Ms),
          at(ColdAtMs + Ms));
  }

  void startAll(long long Ms) {
    for (unsigned I = 0; I < States_.size(); ++I)
      start(I, Ms);
  }

  /// Lets a process place a call at each cold server that it may use, each of
  /// which takes \p DelayMs to arrive.
  void sendFrom(unsigned Process, long long Ms, long long DelayMs) {
    BalancerState &State = *States_[Process];
    endColdPhases(State, at(ColdAtMs + Ms));
    for (unsigned Try = 0; Try <= Cold_; ++Try) {
      const CallFacts Call = callAt(++LastCall_, at(ColdAtMs + Ms));
      const Decision Made = admit(State, Call, at(ColdAtMs + Ms));
      if (Made.Verdict_ != Verdict::Dispatch)
        return removeFromQueue(State, Call.Call_);
      const std::string &Name = serverOf(State, Made.Server_).Name_;
      if (Name[0] == 'c')
        Arrivals_[Name].push_back({Ms + DelayMs, Ms + DelayMs});
      endAttempt(State, Call, Made.Server_, AttemptEnd::Answered,
                 model::milliseconds(1), at(ColdAtMs + Ms));
    }
  }

  unsigned size() const { return static_cast<unsigned>(States_.size()); }

  /// Returns the most calls that reached a cold server within a second while it
  /// was cold.
  unsigned mostInASecond() const {
    unsigned Out = 0;
    for (const auto &Entry : Arrivals_)
      for (const Arrival &First : Entry.second) {
        const auto InWindow = [&](const Arrival &Each) {
          return Each.ArrivedMs_ < ColdMs &&
                 Each.ArrivedMs_ >= First.ArrivedMs_ &&
                 Each.ArrivedMs_ < First.ArrivedMs_ + 1000;
        };
        Out = std::max(
            Out, static_cast<unsigned>(std::count_if(
                     Entry.second.begin(), Entry.second.end(), InWindow)));
      }
    return Out;
  }

  /// Returns the fewest calls that a cold server got while it was cold.
  unsigned fewestCalls() const {
    unsigned Out =
        Arrivals_.size() < Cold_ ? 0 : std::numeric_limits<unsigned>::max();
    for (const auto &Entry : Arrivals_)
      Out = std::min(
          Out, static_cast<unsigned>(std::count_if(
                   Entry.second.begin(), Entry.second.end(),
                   [](const Arrival &A) { return A.ArrivedMs_ < ColdMs; })));
    return Out;
  }

private:
  Processes All_;
  unsigned Warm_;
  unsigned Cold_;
  std::vector<std::shared_ptr<const Processes>> Lists_;
  std::vector<std::shared_ptr<BalancerState>> States_;
  std::map<std::string, std::vector<Arrival>> Arrivals_;
  CallId LastCall_ = 0;
};

class ColdServer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ColdServer);
  CPPUNIT_TEST(getsFewCallsHoweverLargeTheFleet);
  CPPUNIT_TEST(getsEnoughCallsWhenAllServersAreCold);
  CPPUNIT_TEST(getsFewCallsFromAFleetThatIsRestarted);
  CPPUNIT_TEST(getsFewCallsFromTwoHalvesOfAFleet);
  CPPUNIT_TEST(getsNoCallFromAProcessThatKnowsNoMembers);
  CPPUNIT_TEST(getsNoHedgeProbeOrQueryFromOthers);
  CPPUNIT_TEST(isNoticedByAProbe);
  CPPUNIT_TEST(isNoticedAgainByItsEntry);
  CPPUNIT_TEST(isLikeAllOthersOnceItIsWarm);
  CPPUNIT_TEST(isLikeAllOthersWithoutALimit);
  CPPUNIT_TEST(refusesAtOnceWhoMayUseNone);
  CPPUNIT_TEST(staysWithinTheLimitWhateverHappensToTheFleet);
  CPPUNIT_TEST_SUITE_END();

public:
  void getsFewCallsHoweverLargeTheFleet() {
    for (const unsigned Size : {1U, 3U, 14U, 135U, 312U}) {
      Fleet Used(Size);
      Used.startAll(StartMs);
      for (long long Ms = 0; Ms < ColdMs; Ms += StepMs)
        for (unsigned I = 0; I < Size; ++I)
          Used.sendFrom(I, Ms, Ms % ConnectMs);
      CPPUNIT_ASSERT_LESSEQUAL(Limit, Used.mostInASecond());
      CPPUNIT_ASSERT(Used.fewestCalls() >= 12);
    }
  }

  void getsEnoughCallsWhenAllServersAreCold() {
    Fleet Used(45, /*Warm=*/0, /*Cold=*/49);
    Used.startAll(StartMs);
    for (long long Ms = 0; Ms < ColdMs; Ms += StepMs)
      for (unsigned I = 0; I < Used.size(); ++I)
        Used.sendFrom(I, Ms, 0);
    CPPUNIT_ASSERT_LESSEQUAL(Limit, Used.mostInASecond());
    CPPUNIT_ASSERT(Used.fewestCalls() >= 12);
  }

  void getsFewCallsFromAFleetThatIsRestarted() {
    Fleet Used(60);
    Used.startAll(StartMs);
    for (long long Ms = 0; Ms < ColdMs; Ms += StepMs) {
      if (Ms % 400 == 0)
        Used.startAll(Ms);
      for (unsigned I = 0; I < Used.size(); ++I)
        Used.sendFrom(I, Ms, 0);
    }
    CPPUNIT_ASSERT_LESSEQUAL(Limit, Used.mostInASecond());
  }

  /// Each half knows its own members only.
  void getsFewCallsFromTwoHalvesOfAFleet() {
    Fleet Used(60);
    const Processes All = processes(60);
    const auto Half = All.begin() + 30;
    const auto First = std::make_shared<const Processes>(All.begin(), Half);
    const auto Second = std::make_shared<const Processes>(Half, All.end());
    for (unsigned I = 0; I < 60; ++I)
      Used.setList(I, I < 30 ? First : Second);
    Used.startAll(StartMs);
    for (long long Ms = 0; Ms < ColdMs; Ms += StepMs)
      for (unsigned I = 0; I < Used.size(); ++I)
        Used.sendFrom(I, Ms, Ms % ConnectMs);
    CPPUNIT_ASSERT_LESSEQUAL(Limit, Used.mostInASecond());
  }

  void getsNoCallFromAProcessThatKnowsNoMembers() {
    Fleet Used(1);
    Used.setList(0, std::make_shared<const Processes>());
    Used.startAll(StartMs);
    Used.sendFrom(0, 0, 0);
    CPPUNIT_ASSERT_EQUAL(0U, Used.fewestCalls());
  }

  void getsNoHedgeProbeOrQueryFromOthers() {
    const auto Known = std::make_shared<const Processes>(processes(100));
    unsigned Users = 0;
    for (const model::ProcessPlace &Self : *Known) {
      const auto State = makeBalancer(Self.Zone_, 1, /*Seed=*/7);
      model::ControlView View = viewFor(Self, Known, /*Warm=*/2, /*Cold=*/1);
      auto Config = std::make_shared<model::ConfigState>(*View.Config_);
      Config->Presets_["test"].Measuring_.LoadQueryCount_ = 8;
      Config->Presets_["test"].Measuring_.ProbesPerSecond_ = 1000;
      View.Config_ = Config;
      apply(*State, View, at(0));
      const ServerHandle Cold = *findServer(*State, "c0", "vm-c0");
      const bool IsUser = isOpen(*State, Cold, at(2000));
      Users += IsUser;
      for (long long Ms = 2000; Ms < ColdMs && !IsUser; Ms += 20) {
        for (const DueProbe &Due : dueProbes(*State, at(Ms)))
          CPPUNIT_ASSERT(Due.Server_ != Cold);
        for (const auto Round :
             {LoadQueryRound::OwnZone, LoadQueryRound::RestOfZone,
              LoadQueryRound::OtherZones})
          for (const ServerHandle Asked :
               serversToQuery(*State, callAt(5, at(Ms)), Round, at(Ms)))
            CPPUNIT_ASSERT(Asked != Cold);
      }
    }
    CPPUNIT_ASSERT_EQUAL(6U, Users);
  }

  void isNoticedByAProbe() {
    const auto Known = std::make_shared<const Processes>(processes(100));
    unsigned Users = 0;
    for (const model::ProcessPlace &Self : *Known) {
      const auto State = makeBalancer(Self.Zone_, 1, /*Seed=*/7);
      apply(*State, viewFor(Self, Known, /*Warm=*/2, /*Cold=*/0), at(0));
      const ServerHandle Server = *findServer(*State, "w0", "vm-w0");
      CPPUNIT_ASSERT(isOpen(*State, Server, at(1000)));
      model::ServerNotice Notice;
      Notice.ColdFor_ = model::milliseconds(2000);
      CPPUNIT_ASSERT(NoticeEffect::Cold ==
                     applyNotice(*State, Server, Notice, at(1000)));
      CPPUNIT_ASSERT(NoticeEffect::None ==
                     applyNotice(*State, Server, Notice, at(1100)));
      Users += isOpen(*State, Server, at(1200));
      CPPUNIT_ASSERT(isOpen(*State, Server, at(3100)));
    }
    CPPUNIT_ASSERT_EQUAL(6U, Users);
  }

  void isNoticedAgainByItsEntry() {
    const auto Known = std::make_shared<const Processes>(processes(100));
    const auto State = makeBalancer("zone-0", 1, /*Seed=*/7);
    model::ControlView View = viewFor({"front-0", "zone-0"}, Known, 1, 1);
    apply(*State, View, at(0));
    const ServerHandle Cold = *findServer(*State, "c0", "vm-c0");
    endColdPhases(*State, at(5000));
    CPPUNIT_ASSERT(!isLimitedByCold(*State, State->Servers_[Cold], at(5000)));
    apply(*State, View, at(6000));
    CPPUNIT_ASSERT(!isLimitedByCold(*State, State->Servers_[Cold], at(6000)));
    auto Config = std::make_shared<model::ConfigState>(*View.Config_);
    ++Config->Servers_["c0"].ColdSpell_;
    View.Config_ = Config;
    apply(*State, View, at(7000));
    CPPUNIT_ASSERT(isLimitedByCold(*State, State->Servers_[Cold], at(7000)));
  }

  void isLikeAllOthersOnceItIsWarm() {
    const auto Known = std::make_shared<const Processes>(processes(100));
    for (const model::ProcessPlace &Self : *Known) {
      const auto State = makeBalancer(Self.Zone_, 1, /*Seed=*/7);
      apply(*State, viewFor(Self, Known, 0, 1), at(0));
      endColdPhases(*State, at(ColdMs));
      const Decision Made = admit(*State, callAt(1, at(ColdMs)), at(ColdMs));
      CPPUNIT_ASSERT(Verdict::Dispatch == Made.Verdict_);
    }
  }

  void isLikeAllOthersWithoutALimit() {
    const auto Known = std::make_shared<const Processes>(processes(100));
    model::ControlView View = viewFor({"front-0", "zone-0"}, Known, 0, 1);
    auto Config = std::make_shared<model::ConfigState>(*View.Config_);
    Config->Presets_["test"].Services_.clear();
    View.Config_ = Config;
    const auto State = makeBalancer("zone-0", 1, /*Seed=*/7);
    apply(*State, View, at(0));
    CPPUNIT_ASSERT(Verdict::Dispatch ==
                   admit(*State, callAt(1, at(10)), at(10)).Verdict_);
  }

  void refusesAtOnceWhoMayUseNone() {
    const auto Known = std::make_shared<const Processes>(processes(100));
    unsigned Refused = 0;
    for (const model::ProcessPlace &Self : *Known) {
      const auto State = makeBalancer(Self.Zone_, 1, /*Seed=*/7);
      apply(*State, viewFor(Self, Known, 0, 1), at(0));
      const Decision Made = admit(*State, callAt(1, at(2000)), at(2000));
      if (Made.Verdict_ != Verdict::Refuse)
        continue;
      ++Refused;
      CPPUNIT_ASSERT(Made.RetryAfter_ >= model::milliseconds(1000));
      CPPUNIT_ASSERT(Made.RetryAfter_ <= model::milliseconds(1500));
    }
    CPPUNIT_ASSERT_EQUAL(94U, Refused);
  }

  /// Processes are killed and restarted, paused with calls on their way, and
  /// know one of two lists of members.
  void staysWithinTheLimitWhateverHappensToTheFleet() {
    CPPUNIT_ASSERT(rc::check("a cold server gets few calls", [] {
      const unsigned Size = *rc::gen::inRange(2U, 40U);
      Fleet Used(Size);
      const Processes All = processes(Size);
      const auto Known = *rc::gen::inRange(1U, Size);
      const auto Older =
          std::make_shared<const Processes>(All.begin(), All.begin() + Known);
      for (unsigned I = 0; I < Known; ++I)
        if (*rc::gen::arbitrary<bool>())
          Used.setList(I, Older);
      Used.startAll(StartMs);
      const auto KillEvery = *rc::gen::inRange(2, 40);
      const auto PauseEvery = *rc::gen::inRange(1, 10);
      for (long long Step = 0; Step * StepMs < ColdMs; ++Step)
        for (unsigned I = 0; I < Size; ++I) {
          const long long Ms = Step * StepMs;
          if ((Step + I) % KillEvery == 0)
            Used.start(I, Ms);
          if ((Step / PauseEvery + I) % 3 != 0)
            Used.sendFrom(I, Ms, (Step * 37 + I * 11) % ConnectMs);
        }
      RC_ASSERT(Used.mostInASecond() <= Limit);
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ColdServer);

} // namespace
