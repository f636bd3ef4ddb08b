#include "control/directoryfleet.h"
#include "control/directoryprocess.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;

namespace {

/// Starts a fleet that knows the servers a, b and c and lets it settle.
void settle(DirectoryFleet &Fleet) {
  Fleet.put(listed("c"));
  Fleet.wait(model::seconds(3));
}

/// Servers that a process keeps after an outage, as they may register again.
class ServersThatAReaderKeeps : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServersThatAReaderKeeps);
  CPPUNIT_TEST(areNotRevivedAtSubscribersThatSawThemLeave);
  CPPUNIT_TEST(areNotRevivedByAWholeListOrByChanges);
  CPPUNIT_TEST(stayAtSubscribersThatListThem);
  CPPUNIT_TEST(areTakenByAProcessThatHasNoList);
  CPPUNIT_TEST_SUITE_END();

public:
  /// A reader that was cut off from the directory finds half of its servers
  /// missing, as after an outage of the directory.
  void areNotRevivedAtSubscribersThatSawThemLeave() {
    DirectoryProcess Reader = makeSettledProcess();
    DirectorySubscription Subscription;
    Subscription.Revision_ = 10;
    Reader.feed(LinkOpened{1, model::Member(), false, false});
    Reader.feed(PeerMessageReceived{1, Subscription});
    Reader.answer(ports::DirectoryTopic::Servers, failure());
    Reader.waitUnchanged(model::milliseconds(500));
    Reader.answer(ports::DirectoryTopic::Servers, servers({listed("a")}, 60));
    CPPUNIT_ASSERT(Reader.isListed("b") && Reader.isListed("c"));

    Subscriber Running;
    Running.update(10, {change("a"), change("b"), change("c")}, true);
    Running.update(11, {{"b", std::nullopt}}, false);
    for (const DirectoryUpdate &Update : Reader.updates())
      Running.receive(Update);
    CPPUNIT_ASSERT(Running.isListed("a"));
    CPPUNIT_ASSERT(!Running.isListed("b"));
    CPPUNIT_ASSERT(Running.isListed("c")); // it may register again
    // A process that this one informs has seen both of them leave.
    Subscriber Next;
    Next.update(10, {change("a"), change("b"), change("c")}, true);
    Next.update(11, {{"b", std::nullopt}, {"c", std::nullopt}}, false);
    for (const DirectoryUpdate &Update : Running.updates())
      Next.receive(Update);
    CPPUNIT_ASSERT(Next.isListed("a"));
    CPPUNIT_ASSERT(!Next.isListed("b") && !Next.isListed("c"));
  }

  void areNotRevivedByAWholeListOrByChanges() {
    for (const bool IsWhole : {true, false}) {
      Subscriber Running;
      Running.update(10, {change("a"), change("b")}, true);
      Running.update(11, {{"b", std::nullopt}}, false);
      ServerListChange Kept = change("b");
      Kept.MissingMs_ = 100;
      Running.update(12, {change("a"), Kept}, IsWhole);
      CPPUNIT_ASSERT(Running.isListed("a"));
      CPPUNIT_ASSERT(!Running.isListed("b"));
      Running.update(13, {change("b")}, false); // it has registered again
      CPPUNIT_ASSERT(Running.isListed("b"));
    }
  }

  void stayAtSubscribersThatListThem() {
    DirectoryFleet Fleet;
    settle(Fleet);
    Fleet.setAway(true);
    Fleet.expire("a");
    Fleet.expire("b");
    Fleet.wait(model::seconds(3));
    Fleet.setAway(false);
    for (int I = 0; I < 30; ++I) {
      Fleet.wait(model::milliseconds(50));
      CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("a"));
    }
    Fleet.put(listed("a"));
    Fleet.wait(model::seconds(8));
    CPPUNIT_ASSERT_EQUAL(Fleet.size(), Fleet.countListing("a"));
    CPPUNIT_ASSERT_EQUAL(0u, Fleet.countListing("b"));
  }

  void areTakenByAProcessThatHasNoList() {
    Subscriber Starting;
    ServerListChange Kept = change("b");
    Kept.MissingMs_ = 100;
    Starting.update(10, {change("a"), Kept}, true);
    CPPUNIT_ASSERT(Starting.isListed("b"));
    Starting.update(11, {{"b", std::nullopt}}, false);
    CPPUNIT_ASSERT(!Starting.isListed("b"));
  }

private:
  static ServerListChange change(const std::string &Name) {
    ServerListChange Out;
    Out.Name_ = Name;
    Out.Server_ = listed(Name).Listed_->Server_;
    return Out;
  }

  /// A process that gets the updates of one reader and passes them on.
  class Subscriber {
  public:
    Subscriber() {
      model::Member Reader;
      Reader.Process_ = "front-2";
      Reader.Zone_ = "milano-a";
      Process_.feed(LinkOpened{ToReader, Reader, false, true});
      Process_.feed(LinkOpened{FromNext, model::Member(), false, false});
      DirectorySubscription Subscription;
      Subscription.Revision_ = 10;
      Process_.feed(PeerMessageReceived{FromNext, Subscription});
    }

    void update(std::uint64_t Revision,
                const std::vector<ServerListChange> &Servers, bool IsWhole) {
      DirectoryUpdate Message;
      Message.After_ = Revision - 1;
      Message.Revision_ = Revision;
      Message.Servers_ = Servers;
      Message.Version_ = 1;
      Message.Preset_.emplace();
      if (IsWhole)
        Message.Complete_ = true;
      receive(Message);
    }

    void receive(const DirectoryUpdate &Message) {
      Process_.feed(PeerMessageReceived{ToReader, Message});
    }

    /// Returns the updates that it has passed on.
    const std::vector<DirectoryUpdate> &updates() const {
      return Process_.updates();
    }

    bool isListed(const std::string &Name) const {
      return Process_.isListed(Name);
    }

  private:
    static constexpr LinkId ToReader = 1;
    static constexpr LinkId FromNext = 2;
    DirectoryProcess Process_;
  };
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServersThatAReaderKeeps);

} // namespace
