#include "control/core.h"
#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace cumingauge;
using namespace cumingauge::control;
using ports::DirectoryOperation;
using ports::DirectoryTopic;

namespace {

constexpr unsigned ZoneSize = 16;

model::Member memberOf(unsigned Number) {
  model::Member Out;
  Out.Process_ = "front-" + std::to_string(Number);
  Out.Zone_ = "milano-a";
  Out.Host_ = "10.0.0." + std::to_string(Number);
  Out.Port_ = 7000;
  const bool IsFast = Number == 3 || Number == 12;
  Out.LinkMbps_ = IsFast ? 200 : 10;
  return Out;
}

ports::ServerEntry server(const std::string &Name, bool Leaving = false) {
  ports::ListedServer Listed;
  Listed.Server_.Name_ = Name;
  Listed.Server_.Vm_ = "vm-" + Name;
  Listed.Server_.Service_ = "catalogue";
  Listed.Leaving_ = Leaving;
  return {Name, Listed, 0};
}

/// A zone of processes with links without delay, which share one fake
/// directory.
class Zone {
public:
  Zone() {
    for (unsigned I = 0; I < ZoneSize; ++I) {
      CoreSettings Settings;
      Settings.Self_ = memberOf(I);
      Settings.FollowsDirectory_ = true;
      Cores_.push_back(makeCore(Settings, I));
    }
    Entries_ = {{"a", server("a")}, {"b", server("b")}};
    for (unsigned I = 0; I < ZoneSize; ++I)
      feed(I, Started{});
    wait(model::seconds(6));
  }

  void wait(model::milliseconds Time) {
    const model::TimePoint End = Now_ + Time;
    while (Now_ < End) {
      Now_ += model::milliseconds(50);
      for (unsigned I = 0; I < ZoneSize; ++I)
        if (!Dead_.count(I))
          feed(I, Ticked{});
    }
  }

  /// Changes an entry and answers the watches for it at once.
  void put(const ports::ServerEntry &Entry) {
    ports::ServerEntry Written = Entry;
    Written.Revision_ = ++Revision_;
    Entries_[Entry.Name_] = Written;
    Log_.push_back({Revision_, Written});
    answerWatches();
  }

  /// Removes an entry as if it had expired, without answering any watch.
  void expire(const std::string &Name) {
    Entries_.erase(Name);
    ++Revision_;
  }

  void restart(unsigned Number) {
    kill(Number);
    Dead_.erase(Number);
    Views_.erase(Number);
    CoreSettings Settings;
    Settings.Self_ = memberOf(Number);
    Settings.FollowsDirectory_ = true;
    Cores_[Number] = makeCore(Settings, Number);
    feed(Number, Started{});
  }

  bool isListed(unsigned Number, const std::string &Name) const {
    const auto View = Views_.find(Number);
    return View != Views_.end() &&
           View->second->Config_->Servers_.count(Name) > 0;
  }

  /// Writes a configuration and answers the watches for it at once.
  void configure(std::uint64_t Version) {
    ++Revision_;
    ConfigRevision_ = Revision_;
    ConfigVersion_ = Version;
    answerWatches();
  }

  /// Cuts a process off from the directory but not from its peers. Its calls in
  /// flight are never answered, and further calls fail.
  void cut(unsigned Number) { Cut_.insert(Number); }

  /// Makes the directory unreachable or reachable. While it is unreachable,
  /// every call fails.
  void setAway(bool Away) {
    Away_ = Away;
    if (!Away)
      return;
    const auto Dropped = std::exchange(Watches_, {});
    for (const Watch &Asked : Dropped)
      feed(Asked.Process_,
           DirectoryResponseReceived{Asked.Call_, unavailable()});
  }

  void kill(unsigned Number) {
    Dead_.insert(Number);
    for (auto It = Links_.begin(); It != Links_.end();) {
      const auto [From, To] = It->second;
      It = From == Number || To == Number ? Links_.erase(It) : std::next(It);
    }
  }

  bool isLeaving(unsigned Number, const std::string &Name) const {
    const auto View = Views_.find(Number);
    return View != Views_.end() &&
           View->second->LeavingServers_.count(Name) > 0;
  }

  unsigned countSeeingLeaving(const std::string &Name) const {
    unsigned Out = 0;
    for (unsigned I = 0; I < ZoneSize; ++I)
      Out += !Dead_.count(I) && !Cut_.count(I) && isLeaving(I, Name);
    return Out;
  }

  unsigned countAtVersion(std::uint64_t Version) const {
    unsigned Out = 0;
    for (const auto &[Number, View] : Views_)
      Out += !Dead_.count(Number) && !Cut_.count(Number) &&
             View->Config_->Version_ == Version;
    return Out;
  }

  /// Returns the processes with a watch of the servers that waits in the
  /// directory.
  std::set<unsigned> watchers() const {
    std::set<unsigned> Out;
    for (const auto &Watch : Watches_)
      if (Watch.Topic_ == DirectoryTopic::Servers &&
          !Dead_.count(Watch.Process_) && !Cut_.count(Watch.Process_))
        Out.insert(Watch.Process_);
    return Out;
  }

  unsigned reachableCount() const {
    unsigned Out = 0;
    for (unsigned I = 0; I < ZoneSize; ++I)
      Out += !Dead_.count(I) && !Cut_.count(I);
    return Out;
  }

  /// Number of calls that the directory charges for in full, which pings are
  /// not.
  unsigned calls() const { return Calls_; }
  unsigned pings() const { return Pings_; }

private:
  struct Watch {
    unsigned Process_;
    DirectoryTopic Topic_;
    StoreCallId Call_;
    std::uint64_t After_;
    model::TimePoint End_;
  };

  void feed(unsigned Number, const CoreInput &Input) {
    for (const CoreCommand &Command : step(*Cores_[Number], Input, Now_))
      std::visit([&](const auto &What) { execute(Number, What); }, Command);
  }

  template <class T> void execute(unsigned, const T &) {}

  void execute(unsigned Number, const PublishView &Command) {
    Views_[Number] = Command.View_;
  }

  void execute(unsigned Number, const OpenLink &Command) {
    for (unsigned To = 0; To < ZoneSize; ++To) {
      if (memberOf(To).Host_ != Command.Host_)
        continue;
      if (Dead_.count(To))
        return feed(Number, LinkFailed{Command.Host_, Command.Port_});
      const LinkId Id = ++LastLink_;
      Links_[Id] = {Number, To};
      feed(To, LinkOpened{Id, memberOf(Number), false, false});
      feed(Number, LinkOpened{Id, memberOf(To), false, true});
    }
  }

  void execute(unsigned Number, const SendPeer &Command) {
    const auto Found = Links_.find(Command.Link_);
    if (Found == Links_.end())
      return;
    const auto [From, To] = Found->second;
    feed(Number == From ? To : From,
         PeerMessageReceived{Command.Link_, *Command.Message_});
  }

  void execute(unsigned Number, const CallDirectory &Command) {
    const ports::DirectoryRequest &Asked = Command.Request_;
    if (Cut_.count(Number))
      return feed(Number,
                  DirectoryResponseReceived{Command.Call_, unavailable()});
    ++(Asked.Operation_ == DirectoryOperation::Ping ? Pings_ : Calls_);
    if (Away_)
      return feed(Number,
                  DirectoryResponseReceived{Command.Call_, unavailable()});
    ports::DirectoryResponse Answer;
    Answer.Revision_ = Revision_;
    if (Asked.Operation_ == DirectoryOperation::Watch) {
      Watches_.push_back({Number, Asked.Topic_, Command.Call_, Asked.After_,
                          Now_ + Asked.Wait_});
      return answerWatches();
    }
    if (Asked.Operation_ == DirectoryOperation::Read)
      fill(Answer, Asked.Topic_, 0);
    feed(Number, DirectoryResponseReceived{Command.Call_, Answer});
  }

  static ports::DirectoryResponse unavailable() {
    ports::DirectoryResponse Out;
    Out.Code_ = model::ResultCode::StoreUnavailable;
    return Out;
  }

  /// Adds the content of a topic, or what has changed in it after a revision.
  void fill(ports::DirectoryResponse &Answer, DirectoryTopic Topic,
            std::uint64_t After) const {
    if (Topic == DirectoryTopic::Configuration && ConfigRevision_ > After) {
      Answer.Configuration_.emplace();
      Answer.Configuration_->Version_ = ConfigVersion_;
      Answer.Configuration_->Preset_.Name_ =
          "version " + std::to_string(ConfigVersion_);
    }
    if (Topic == DirectoryTopic::Servers && After == 0)
      for (const auto &Entry : Entries_)
        Answer.Servers_.push_back(Entry.second);
    if (Topic == DirectoryTopic::Servers && After > 0)
      for (const auto &[Revision, Entry] : Log_)
        if (Revision > After)
          Answer.Servers_.push_back(Entry);
    if (Topic == DirectoryTopic::Members)
      for (unsigned I = 0; I < ZoneSize; ++I)
        Answer.Members_.push_back(memberOf(I));
  }

  void answerWatches() {
    for (std::size_t I = 0; I < Watches_.size();) {
      const Watch Asked = Watches_[I];
      ports::DirectoryResponse Answer;
      Answer.Revision_ = Revision_;
      fill(Answer, Asked.Topic_, Asked.After_);
      const bool HasNews = Answer.Configuration_ || !Answer.Servers_.empty();
      if (!HasNews || Dead_.count(Asked.Process_) ||
          Cut_.count(Asked.Process_)) {
        ++I;
        continue;
      }
      Watches_.erase(Watches_.begin() + static_cast<std::ptrdiff_t>(I));
      feed(Asked.Process_, DirectoryResponseReceived{Asked.Call_, Answer});
      I = 0;
    }
  }

  model::TimePoint Now_{model::seconds(1000)};
  std::vector<std::shared_ptr<CoreState>> Cores_;
  std::map<std::string, ports::ServerEntry> Entries_;
  std::vector<std::pair<std::uint64_t, ports::ServerEntry>> Log_;
  std::uint64_t Revision_ = 10;
  std::uint64_t ConfigVersion_ = 1;
  std::uint64_t ConfigRevision_ = 10;
  std::vector<Watch> Watches_;
  std::map<LinkId, std::pair<unsigned, unsigned>> Links_;
  LinkId LastLink_ = 0;
  std::set<unsigned> Dead_;
  std::set<unsigned> Cut_;
  bool Away_ = false;
  std::map<unsigned, std::shared_ptr<const model::ControlView>> Views_;
  unsigned Calls_ = 0;
  unsigned Pings_ = 0;
};

class DistributionOfTheServerList : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DistributionOfTheServerList);
  CPPUNIT_TEST(bringsALeavingMarkToEveryProcessAtOnce);
  CPPUNIT_TEST(leavesTheDirectoryToAFewReaders);
  CPPUNIT_TEST(goesOnWithinTheBoundWhenAllReadersDie);
  CPPUNIT_TEST(goesOnWithinTheBoundWhenReadersLoseTheDirectory);
  CPPUNIT_TEST(bringsAConfigurationToEveryProcessAtOnce);
  CPPUNIT_TEST(readsOnVmsWithFastLinks);
  CPPUNIT_TEST(asksSeldomWhileTheDirectoryIsAway);
  CPPUNIT_TEST(bringsBackWhatExpiredWhileAProcessStarted);
  CPPUNIT_TEST(startsWithFewCallsOfEachProcess);
  CPPUNIT_TEST(makesFewCallsWhileNothingChanges);
  CPPUNIT_TEST_SUITE_END();

public:
  void bringsALeavingMarkToEveryProcessAtOnce() {
    Zone Fleet;
    Fleet.put(server("a", true));
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(ZoneSize, Fleet.countSeeingLeaving("a"));
  }

  void leavesTheDirectoryToAFewReaders() {
    Zone Fleet;
    Fleet.put(server("c")); // ends the watches made at the start
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT(Fleet.watchers().size() <= 4);
    const unsigned Before = Fleet.calls();
    for (int I = 0; I < 20; ++I) {
      Fleet.put(server("s" + std::to_string(I)));
      Fleet.wait(model::milliseconds(500)); // ten seconds in all
    }
    // Each reader calls once in 0.7 s at most.
    CPPUNIT_ASSERT(Fleet.calls() - Before <= 4 * 15);
  }

  void goesOnWithinTheBoundWhenAllReadersDie() {
    Zone Fleet;
    Fleet.put(server("c"));
    Fleet.wait(model::seconds(3));
    for (const unsigned Reader : Fleet.watchers())
      Fleet.kill(Reader);
    Fleet.put(server("a", true));
    Fleet.wait(model::milliseconds(1900)); // the bound is 2 s
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("a"));
    Fleet.wait(model::seconds(8));
    Fleet.put(server("b", true));
    Fleet.wait(model::milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("b"));
  }

  void goesOnWithinTheBoundWhenReadersLoseTheDirectory() {
    Zone Fleet;
    Fleet.put(server("c"));
    Fleet.wait(model::seconds(3));
    for (const unsigned Reader : Fleet.watchers())
      Fleet.cut(Reader);
    CPPUNIT_ASSERT(Fleet.reachableCount() > ZoneSize / 2);
    Fleet.put(server("a", true));
    Fleet.configure(2);
    Fleet.wait(model::milliseconds(1900)); // the bound is 2 s
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countSeeingLeaving("a"));
    CPPUNIT_ASSERT_EQUAL(Fleet.reachableCount(), Fleet.countAtVersion(2));
  }

  void bringsAConfigurationToEveryProcessAtOnce() {
    Zone Fleet;
    const unsigned Before = Fleet.calls();
    Fleet.configure(2);
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(ZoneSize, Fleet.countAtVersion(2));
    Fleet.wait(model::seconds(3));
    Fleet.configure(3);
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(ZoneSize, Fleet.countAtVersion(3));
    // Only readers watch; each starts its watch again after a change.
    CPPUNIT_ASSERT(Fleet.calls() - Before <= 2 * 4);
  }

  void readsOnVmsWithFastLinks() {
    Zone Fleet;
    Fleet.put(server("c"));
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT((std::set<unsigned>{3, 12}) == Fleet.watchers());
  }

  void asksSeldomWhileTheDirectoryIsAway() {
    Zone Fleet;
    Fleet.setAway(true);
    Fleet.wait(model::seconds(10));
    const unsigned Before = Fleet.calls();
    Fleet.wait(model::seconds(10));
    // For both topics: each second by the readers, every 2 s by the others.
    CPPUNIT_ASSERT(Fleet.calls() - Before <=
                   2 * (2 * 10 * 4 / 3 + 14 * 10 * 2 / 3));
    Fleet.setAway(false);
    Fleet.put(server("a", true));
    // Time after which all processes must have called the directory again.
    Fleet.wait(model::milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(ZoneSize, Fleet.countSeeingLeaving("a"));
  }

  /// A server entry expires and returns unchanged, so that nothing has changed
  /// for the readers. A process that read the list in between must get it all
  /// the same.
  void bringsBackWhatExpiredWhileAProcessStarted() {
    constexpr unsigned Late = 5;
    Zone Fleet;
    Fleet.expire("a");
    Fleet.restart(Late);
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT(Fleet.isListed(Late, "b") && !Fleet.isListed(Late, "a"));
    Fleet.put(server("d")); // the readers know a newer revision again
    Fleet.wait(model::seconds(3));
    Fleet.put(server("a"));
    Fleet.wait(model::seconds(2));
    CPPUNIT_ASSERT(Fleet.isListed(Late, "a"));
  }

  void startsWithFewCallsOfEachProcess() {
    Zone Fleet;
    // Calls per process: announcement, members, configuration and servers, and
    // two watches of a reader.
    CPPUNIT_ASSERT(Fleet.calls() <= 4 * ZoneSize + 2 * 4);
  }

  void makesFewCallsWhileNothingChanges() {
    Zone Fleet;
    const unsigned Before = Fleet.calls();
    const unsigned PingsBefore = Fleet.pings();
    Fleet.wait(model::seconds(20));
    CPPUNIT_ASSERT_EQUAL(Before, Fleet.calls());
    // A reader pings the directory every 0.7 s.
    CPPUNIT_ASSERT(Fleet.pings() - PingsBefore <= 4 * 20 * 10 / 7);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DistributionOfTheServerList);

} // namespace
