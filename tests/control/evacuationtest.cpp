#include "control/directoryprocess.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;
using model::milliseconds;

namespace {

constexpr auto Config = ports::DirectoryTopic::Configuration;
constexpr auto Servers = ports::DirectoryTopic::Servers;
using ZoneSet = std::set<std::string>;

ports::DirectoryResponse zones(const std::vector<ports::ZoneRequest> &Requests,
                               std::uint64_t Revision) {
  ports::DirectoryResponse Out;
  Out.Revision_ = Revision;
  Out.Zones_ = Requests;
  return Out;
}

ZoneSet evacuatedAt(const DirectoryProcess &Running) {
  return Running.view()->Config_->EvacuatedZones_;
}

/// Zones that operators evacuate through the directory.
class EvacuationOfAZone : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationOfAZone);
  CPPUNIT_TEST(isInForceAtOnce);
  CPPUNIT_TEST(isReadWithTheConfigurationInPages);
  CPPUNIT_TEST(isNoticedAlthoughTheWatchIsNeverAnswered);
  CPPUNIT_TEST(holdsThroughAnOutageOfTheDirectory);
  CPPUNIT_TEST(holdsThroughAPauseOfTheProcess);
  CPPUNIT_TEST(endsOnceTheServersAreKnownAfterIt);
  CPPUNIT_TEST(mayBeRequestedAgainBeforeItHasEnded);
  CPPUNIT_TEST(mayOverlapAnother);
  CPPUNIT_TEST(isNotUndoneByAnOlderResponse);
  CPPUNIT_TEST(isHeldUntilItIsWrittenAgainAfterARestore);
  CPPUNIT_TEST(reachesEveryProcessOfAFleet);
  CPPUNIT_TEST(reachesEveryProcessWhenItsReadersDie);
  CPPUNIT_TEST(neverGoesBackInAnyProcess);
  CPPUNIT_TEST_SUITE_END();

public:
  void isInForceAtOnce() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Config, zones({{"milano-a", true}}, 11));
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t(1), Running.events(model::EventKind::ZoneEvacuated).size());
  }

  void isReadWithTheConfigurationInPages() {
    DirectoryProcess Starting;
    auto First = configuration(5, 10);
    First.Next_ = "op/config";
    Starting.answer(Config, First);
    CPPUNIT_ASSERT_EQUAL(std::string("op/config"),
                         Starting.call(Config)->Request_.Page_);
    Starting.answer(Config, zones({{"torino-b", true}}, 12));
    Starting.answer(Servers, servers({listed("a")}, 12));
    CPPUNIT_ASSERT(ZoneSet{"torino-b"} == evacuatedAt(Starting));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Starting.view()->Config_->Version_);
    Starting.waitUnchanged(model::seconds(2));
    // The watch also covers what changed between the pages.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10),
                         Starting.call(Config)->Request_.After_);
  }

  void isNoticedAlthoughTheWatchIsNeverAnswered() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Running.nextPoll(), servers({}, 11));
    CPPUNIT_ASSERT(Running.poll()->Request_.Topic_ == Config);
    Running.answer(Running.poll(), zones({{"milano-a", true}}, 11));
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
  }

  void holdsThroughAnOutageOfTheDirectory() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Config, zones({{"milano-a", true}}, 11));
    Running.waitUnchanged(model::seconds(2));
    Running.answer(Config, failure());
    Running.answer(Servers, failure());
    for (int I = 0; I < 20; ++I) {
      Running.wait(model::seconds(1));
      if (const CallDirectory *Ping = Running.ping())
        Running.answer(Ping, failure());
      CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
    }
  }

  void holdsThroughAPauseOfTheProcess() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Config, zones({{"milano-a", true}}, 11));
    Running.sleep(model::seconds(12));
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
    Running.answer(Config, zones({{"milano-a", true}}, 20));
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
  }

  /// Servers of the zone may have become cold right before the zone was taken
  /// back.
  void endsOnceTheServersAreKnownAfterIt() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Config, zones({{"milano-a", true}}, 11));
    Running.waitUnchanged(model::seconds(2));
    Running.answer(Config, zones({{"milano-a", false}}, 13));
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
    const CallDirectory *Poll = Running.nextPoll();
    CPPUNIT_ASSERT(Poll && Poll->Request_.Topic_ == Servers);
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
    Running.answer(Poll, servers({listed("d")}, 13));
    CPPUNIT_ASSERT(ZoneSet{} == evacuatedAt(Running));
    CPPUNIT_ASSERT(Running.isListed("d"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Running.events(model::EventKind::ZoneReturned).size());
  }

  void mayBeRequestedAgainBeforeItHasEnded() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Config, zones({{"milano-a", true}}, 11));
    Running.waitUnchanged(model::seconds(2));
    Running.answer(Config,
                   zones({{"milano-a", false}, {"milano-a", true}}, 13));
    Running.waitUnchanged(model::seconds(4));
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
  }

  void mayOverlapAnother() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Config, zones({{"milano-a", true}, {"torino-b", true}}, 12));
    Running.waitUnchanged(model::seconds(2));
    Running.answer(Config, zones({{"milano-a", false}}, 13));
    Running.waitUnchanged(model::seconds(2));
    CPPUNIT_ASSERT(ZoneSet{"torino-b"} == evacuatedAt(Running));
  }

  void isNotUndoneByAnOlderResponse() {
    DirectoryProcess Running = makeSettledProcess();
    const CallDirectory Watch = *Running.call(Config);
    Running.answer(Running.nextPoll(), servers({}, 14));
    Running.answer(Running.poll(), zones({{"milano-a", true}}, 14));
    Running.answer(&Watch,
                   zones({{"milano-a", true}, {"milano-a", false}}, 13));
    Running.waitUnchanged(model::seconds(2));
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
  }

  void isHeldUntilItIsWrittenAgainAfterARestore() {
    DirectoryProcess Running = makeSettledProcess();
    Running.answer(Config, ofEra(3, zones({{"milano-a", true}}, 20)));
    Running.waitUnchanged(model::seconds(2));
    Running.answer(Config, ofEra(4, failure()));
    Running.wait(milliseconds(300));
    Running.answer(Config, ofEra(4, configuration(5, 12)));
    const auto WaitUnchanged = [&](model::seconds Time) {
      for (const auto End = Running.now() + Time; Running.now() < End;) {
        if (Running.call(Servers) &&
            Running.call(Servers)->Request_.Operation_ ==
                ports::DirectoryOperation::Read)
          Running.answer(Servers, ofEra(4, servers({listed("a")}, 12)));
        Running.waitUnchanged(milliseconds(100));
      }
    };
    WaitUnchanged(model::seconds(5));
    CPPUNIT_ASSERT(ZoneSet{"milano-a"} == evacuatedAt(Running));
    WaitUnchanged(model::seconds(4));
    CPPUNIT_ASSERT(ZoneSet{} == evacuatedAt(Running));
  }

  void reachesEveryProcessOfAFleet() {
    DirectoryFleet Fleet({/*Zones_=*/3, /*ZoneSize_=*/16});
    Fleet.evacuate("zone-1", true);
    Fleet.wait(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countEvacuating("zone-1"));
    Fleet.evacuate("zone-1", false);
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.countEvacuating("zone-1"));
  }

  void reachesEveryProcessWhenItsReadersDie() {
    DirectoryFleet Fleet({/*Zones_=*/2, /*ZoneSize_=*/16});
    Fleet.put(listed("c"));
    Fleet.wait(model::seconds(3));
    for (const unsigned Reader : Fleet.watchers())
      Fleet.kill(Reader);
    Fleet.evacuate("zone-1", true);
    Fleet.wait(milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(),
                         Fleet.countEvacuating("zone-1"));
  }

  void neverGoesBackInAnyProcess() {
    CPPUNIT_ASSERT(rc::check("a zone that is evacuated stays so", [] {
      DirectoryFleet Fleet({*rc::gen::inRange(1U, 4U), 6});
      Fleet.evacuate("zone-0", true);
      Fleet.wait(model::seconds(2));
      RC_ASSERT(Fleet.countEvacuating("zone-0") == Fleet.size());
      for (int I = 0; I < 30; ++I) {
        const unsigned Process = *rc::gen::inRange(0U, Fleet.size());
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
          Fleet.pause(Process, *rc::gen::arbitrary<bool>());
          break;
        case 1:
          Fleet.setDelay(Process, milliseconds(*rc::gen::inRange(0, 30) * 50));
          break;
        case 2:
          Fleet.loseResponses(Process, *rc::gen::inRange(1U, 4U));
          break;
        case 3:
          Fleet.compact();
          break;
        case 4:
          Fleet.setAway(*rc::gen::arbitrary<bool>());
          break;
        case 5:
          Fleet.evacuate("zone-1", *rc::gen::arbitrary<bool>());
          break;
        default:
          Fleet.put(listed("s" + std::to_string(I)));
        }
        Fleet.wait(milliseconds(*rc::gen::inRange(1, 12) * 50));
        RC_ASSERT(Fleet.countEvacuating("zone-0") == Fleet.size());
      }
    }));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationOfAZone);

} // namespace
