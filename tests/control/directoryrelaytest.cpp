#include "control/directoryfleet.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;

namespace {

constexpr DirectoryFleetSize ThreeZones{3, 16};

/// Starts a fleet and lets it settle after the watches of the start.
void settle(DirectoryFleet &Fleet) {
  Fleet.put(listed("c"));
  Fleet.wait(model::seconds(3));
}

model::Member memberNamed(const std::string &Process) {
  model::Member Out;
  Out.Process_ = Process;
  Out.Host_ = "10.0.0." + std::to_string(Process.size());
  Out.Zone_ = "zone-0";
  return Out;
}

/// Returns the number of messages that a step sends on a link.
std::size_t sentOn(LinkId Link, const std::vector<CoreCommand> &Commands) {
  return static_cast<std::size_t>(
      std::count_if(Commands.begin(), Commands.end(), [&](const auto &One) {
        const auto *Sent = std::get_if<SendPeer>(&One);
        return Sent && Sent->Link_ == Link;
      }));
}

/// Acknowledges the updates that a step sends on a link, as a peer that has a
/// revision, and adds the commands that follow.
void acknowledge(CoreState &Core, LinkId Link, std::uint64_t Revision,
                 std::vector<CoreCommand> &Commands, model::TimePoint Now) {
  for (std::size_t I = 0; I < Commands.size(); ++I) {
    const auto *Sent = std::get_if<SendPeer>(&Commands[I]);
    const auto *News =
        Sent ? std::get_if<DirectoryUpdate>(Sent->Message_.get()) : nullptr;
    if (!News || !News->AnswerNow_)
      continue;
    DirectorySubscription Taken;
    Taken.Revision_ = std::max(Revision, News->Revision_);
    Taken.Version_ = News->Version_;
    Taken.Era_ = News->Era_;
    Taken.Received_ = News->Number_;
    const auto More = step(Core, PeerMessageReceived{Link, Taken}, Now);
    Commands.insert(Commands.end(), More.begin(), More.end());
  }
}

/// Returns what a directory answers whose server "x" was removed between the
/// revisions 43 and 98.
ports::DirectoryResponse responseTo(const ports::DirectoryRequest &Request) {
  ports::DirectoryResponse Out;
  Out.Revision_ = 43;
  Out.Era_ = 1;
  if (Request.Topic_ == ports::DirectoryTopic::Configuration)
    Out.Configuration_ = ports::ListedConfiguration{1, model::Preset()};
  if (Request.Operation_ != ports::DirectoryOperation::Watch)
    return Out;
  Out.Revision_ = 98;
  Out.Servers_ = {{"x", std::nullopt, 0}};
  return Out;
}

class RelayedDirectoryUpdates : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedDirectoryUpdates);
  CPPUNIT_TEST(areReadByTwoProcessesOfTheFleet);
  CPPUNIT_TEST(bringALeavingMarkToEveryZoneAtOnce);
  CPPUNIT_TEST(keepTheBoundWhenTheFleetReadersDie);
  CPPUNIT_TEST(keepTheBoundWhenTheFleetReadersLoseTheDirectory);
  CPPUNIT_TEST(keepTheBoundWhenAZoneLosesItsReaders);
  CPPUNIT_TEST(doNotConfirmEachOtherWhileTheDirectoryIsAway);
  CPPUNIT_TEST(reachAFleetThatStartsAtOnceWithinATenthOfASecond);
  CPPUNIT_TEST(reachAFleetThatStartsInTwoHalves);
  CPPUNIT_TEST(areReadByEachProcessWhenTheFleetReadersStayAway);
  CPPUNIT_TEST(tellOfTheRemovalOfAServerThatTheReaderNeverKnew);
  CPPUNIT_TEST(areWholeAfterAReadThatMayHideARemoval);
  CPPUNIT_TEST(areNotPassedInCirclesWhenTheyAreOld);
  CPPUNIT_TEST_SUITE_END();

public:
  void areReadByTwoProcessesOfTheFleet() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Fleet.watchers().size());
    const unsigned Before = Fleet.calls();
    for (int I = 0; I < 20; ++I) {
      Fleet.put(listed("s" + std::to_string(I)));
      Fleet.wait(model::milliseconds(500)); // ten seconds in all
    }
    // Each of the two calls once in 0.7 s at most.
    CPPUNIT_ASSERT_LESSEQUAL(2u * 15, Fleet.calls() - Before);
  }

  void bringALeavingMarkToEveryZoneAtOnce() {
    DirectoryFleet Fleet(ThreeZones);
    Fleet.put(listed("a", true));
    Fleet.configure(2);
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countAtVersion(2));
  }

  void keepTheBoundWhenTheFleetReadersDie() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    for (const unsigned Reader : Fleet.watchers())
      Fleet.kill(Reader);
    Fleet.put(listed("a", true));
    Fleet.configure(2);
    Fleet.wait(model::milliseconds(1900)); // the bound is 2 s
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("a"));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countAtVersion(2));
    // Others have taken their place.
    Fleet.wait(model::seconds(8));
    Fleet.put(listed("b", true));
    Fleet.wait(model::milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("b"));
    CPPUNIT_ASSERT(Fleet.watchers().size() <= 6);
  }

  void keepTheBoundWhenTheFleetReadersLoseTheDirectory() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    const unsigned Before = Fleet.calls();
    for (const unsigned Reader : Fleet.watchers())
      Fleet.cut(Reader);
    Fleet.put(listed("a", true));
    Fleet.configure(2);
    Fleet.wait(model::milliseconds(1900)); // the bound is 2 s
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("a"));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countAtVersion(2));
    // The zone readers have called, and the others have relied on them.
    CPPUNIT_ASSERT(Fleet.calls() - Before <= 6 * 4);
  }

  void keepTheBoundWhenAZoneLosesItsReaders() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.kill(16 + 3);
    Fleet.kill(16 + 12);
    Fleet.put(listed("a", true));
    Fleet.wait(model::milliseconds(1900)); // the bound is 2 s
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("a"));
  }

  /// Two processes that subscribe to each other must not take the other's
  /// updates for news from the directory.
  void doNotConfirmEachOtherWhileTheDirectoryIsAway() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.setAway(true);
    Fleet.wait(model::seconds(10));
    const unsigned Before = Fleet.pings();
    Fleet.wait(model::seconds(10));
    // Every process keeps asking whether the directory is back, at least every
    // 3 s.
    CPPUNIT_ASSERT_GREATEREQUAL(3 * Fleet.size(), Fleet.pings() - Before);
    Fleet.setAway(false);
    Fleet.put(listed("a", true));
    // Time after which all processes must have called the directory again.
    Fleet.wait(model::milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countSeeingLeaving("a"));
  }

  void reachAFleetThatStartsAtOnceWithinATenthOfASecond() {
    for (const DirectoryFleetSize Size :
         {DirectoryFleetSize{1, 3}, DirectoryFleetSize{3, 4},
          DirectoryFleetSize{3, 38}, DirectoryFleetSize{3, 104}}) {
      DirectoryFleet Fleet(Size);
      settle(Fleet);
      const unsigned Before = Fleet.calls();
      Fleet.restartAll();
      Fleet.wait(model::milliseconds(100));
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countWithView());
      // One read of the members each; the lists are read by a few processes.
      CPPUNIT_ASSERT_LESSEQUAL(Fleet.size() + 10, Fleet.calls() - Before);
    }
  }

  /// The first half finds most of its readers not listening yet.
  void reachAFleetThatStartsInTwoHalves() {
    for (const unsigned FirstHalf : {0u, 1u}) {
      DirectoryFleet Fleet(ThreeZones);
      settle(Fleet);
      std::set<unsigned> Later;
      for (unsigned I = 1 - FirstHalf; I < Fleet.size(); I += 2)
        Later.insert(I);
      const unsigned Before = Fleet.calls();
      Fleet.restartAll(Later);
      Fleet.wait(model::milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countWithView());
      for (const unsigned Number : Later)
        Fleet.restart(Number);
      Fleet.wait(model::milliseconds(100));
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countWithView());
      CPPUNIT_ASSERT_LESSEQUAL(Fleet.size() + 20, Fleet.calls() - Before);
    }
  }

  /// Processes that get nothing from their readers still read by themselves.
  void areReadByEachProcessWhenTheFleetReadersStayAway() {
    DirectoryFleet Fleet(ThreeZones);
    settle(Fleet);
    Fleet.restartAll(Fleet.watchers());
    Fleet.wait(model::milliseconds(600));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countWithView());
  }

  /// A server was added and removed while the reader could not call the
  /// directory, and its subscriber has seen the addition elsewhere.
  void tellOfTheRemovalOfAServerThatTheReaderNeverKnew() {
    constexpr LinkId FromSubscriber = 2;
    CoreSettings Settings;
    Settings.Self_ = memberNamed("reader");
    Settings.FollowsDirectory_ = true;
    const auto Core = makeCore(Settings, /*Seed=*/1);
    model::TimePoint Now{model::seconds(1000)};
    std::vector<CoreCommand> Commands = step(*Core, Started{}, Now);
    step(*Core,
         LinkOpened{FromSubscriber, memberNamed("another"), false, false}, Now);
    step(*Core, PeerMessageReceived{FromSubscriber, DirectorySubscription{}},
         Now);
    bool Removed = false;
    const auto IsRemoval = [](const CoreCommand &Command) {
      const auto *Sent = std::get_if<SendPeer>(&Command);
      const auto *News =
          Sent ? std::get_if<DirectoryUpdate>(Sent->Message_.get()) : nullptr;
      return News && std::any_of(News->Servers_.begin(), News->Servers_.end(),
                                 [](const ServerListChange &Change) {
                                   return Change.Name_ == "x" &&
                                          !Change.Server_;
                                 });
    };
    for (int I = 0; I < 200; ++I, Now += model::milliseconds(50)) {
      std::vector<CoreCommand> Next = step(*Core, Ticked{}, Now);
      for (const CoreCommand &Command : Commands)
        if (const auto *Call = std::get_if<CallDirectory>(&Command)) {
          const auto More = step(*Core,
                                 DirectoryResponseReceived{
                                     Call->Call_, responseTo(Call->Request_)},
                                 Now);
          Next.insert(Next.end(), More.begin(), More.end());
        }
      acknowledge(*Core, FromSubscriber, 0, Next, Now);
      Removed = Removed || std::any_of(Next.begin(), Next.end(), IsRemoval);
      Commands = std::move(Next);
    }
    CPPUNIT_ASSERT(Removed);
  }

  /// The reader loses its watch and reads the list; a server may have been
  /// added and removed meanwhile, which its subscriber has seen the first half
  /// of.
  void areWholeAfterAReadThatMayHideARemoval() {
    constexpr LinkId FromSubscriber = 2;
    CoreSettings Settings;
    Settings.Self_ = memberNamed("reader");
    Settings.FollowsDirectory_ = true;
    const auto Core = makeCore(Settings, /*Seed=*/1);
    model::TimePoint Now{model::seconds(1000)};
    std::vector<CoreCommand> Commands = step(*Core, Started{}, Now);
    step(*Core,
         LinkOpened{FromSubscriber, memberNamed("another"), false, false}, Now);
    DirectorySubscription Subscription;
    Subscription.Revision_ = 95;
    Subscription.Era_ = 1;
    step(*Core, PeerMessageReceived{FromSubscriber, Subscription}, Now);
    bool IsWhole = false;
    std::uint64_t Revision = 43;
    for (int I = 0; I < 200; ++I, Now += model::milliseconds(50)) {
      std::vector<CoreCommand> Next = step(*Core, Ticked{}, Now);
      for (const CoreCommand &Command : Commands) {
        const auto *Call = std::get_if<CallDirectory>(&Command);
        if (!Call)
          continue;
        ports::DirectoryResponse Response = responseTo(Call->Request_);
        Response.Servers_.clear();
        Response.Revision_ = Revision;
        if (Call->Request_.Operation_ == ports::DirectoryOperation::Watch) {
          Response.Code_ = model::ResultCode::StoreUnavailable;
          Revision = 98;
        }
        const auto More =
            step(*Core, DirectoryResponseReceived{Call->Call_, Response}, Now);
        Next.insert(Next.end(), More.begin(), More.end());
      }
      acknowledge(*Core, FromSubscriber, 95, Next, Now);
      for (const CoreCommand &Command : Next)
        if (const auto *Sent = std::get_if<SendPeer>(&Command))
          if (const auto *News =
                  std::get_if<DirectoryUpdate>(Sent->Message_.get()))
            IsWhole = IsWhole || (News->Revision_ == 98 &&
                                  News->Complete_.value_or(false));
      Commands = std::move(Next);
    }
    CPPUNIT_ASSERT(IsWhole);
  }

  /// Guards against a storm of messages between processes that subscribe to
  /// each other while the directory is away: each update led to another one.
  void areNotPassedInCirclesWhenTheyAreOld() {
    constexpr LinkId ToReader = 1;
    constexpr LinkId FromSubscriber = 2;
    CoreSettings Settings;
    Settings.Self_ = memberNamed("relay");
    Settings.FollowsDirectory_ = true;
    const auto Core = makeCore(Settings, /*Seed=*/1);
    const model::TimePoint Now{model::seconds(1000)};
    step(*Core, Started{}, Now);
    step(*Core, LinkOpened{ToReader, memberNamed("reader"), false, true}, Now);
    step(*Core,
         LinkOpened{FromSubscriber, memberNamed("another"), false, false}, Now);
    step(*Core, PeerMessageReceived{FromSubscriber, DirectorySubscription{}},
         Now);
    DirectoryUpdate Old;
    Old.Revision_ = 10;
    Old.Version_ = 1;
    Old.Preset_.emplace();
    Old.Complete_ = true;
    Old.Asked_ = static_cast<std::uint64_t>(Now.time_since_epoch().count());
    Old.ConfirmedMs_ = Old.VersionConfirmedMs_ = -5000;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1),
        sentOn(FromSubscriber,
               step(*Core, PeerMessageReceived{ToReader, Old}, Now)));
    // The same again, as from a process to which the subscriber passed it on.
    Old.ConfirmedMs_ = Old.VersionConfirmedMs_ = -4999;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(0),
        sentOn(FromSubscriber,
               step(*Core, PeerMessageReceived{ToReader, Old}, Now)));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RelayedDirectoryUpdates);

} // namespace
