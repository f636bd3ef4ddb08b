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
  return Out;
}

ports::ServerEntry server(const std::string &Name, bool Leaving = false) {
  ports::ListedServer Listed;
  Listed.Server_.Name_ = Name;
  Listed.Server_.Vm_ = "vm-" + Name;
  Listed.Server_.Service_ = "catalogue";
  Listed.Leaving_ = Leaving;
  return {Name, Listed};
}

/// A zone of processes on links without delay, before one directory.
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

  /// Changes an entry; watches hear of it at once.
  void put(const ports::ServerEntry &Entry) {
    Entries_[Entry.Name_] = Entry;
    Log_.push_back({++Revision_, Entry});
    answerWatches();
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

  unsigned knowingThatLeaves(const std::string &Name) const {
    unsigned Out = 0;
    for (unsigned I = 0; I < ZoneSize; ++I)
      Out += !Dead_.count(I) && isLeaving(I, Name);
    return Out;
  }

  /// Processes with a call about servers that waits in the directory.
  std::set<unsigned> watchers() const {
    std::set<unsigned> Out;
    for (const auto &Watch : Watches_)
      if (!Dead_.count(Watch.Process_))
        Out.insert(Watch.Process_);
    return Out;
  }

  unsigned alive() const {
    return ZoneSize - static_cast<unsigned>(Dead_.size());
  }
  unsigned calls() const { return Calls_; }

private:
  struct Watch {
    unsigned Process_;
    StoreCallId Call_;
    std::uint64_t After_;
    model::TimePoint End_;
  };

  void feed(unsigned Number, const CoreInput &Input) {
    for (const CoreOrder &Order : step(*Cores_[Number], Input, Now_))
      std::visit([&](const auto &What) { execute(Number, What); }, Order);
  }

  template <class T> void execute(unsigned, const T &) {}

  void execute(unsigned Number, const PublishView &Order) {
    Views_[Number] = Order.View_;
  }

  void execute(unsigned Number, const OpenLink &Order) {
    for (unsigned To = 0; To < ZoneSize; ++To) {
      if (memberOf(To).Host_ != Order.Host_)
        continue;
      if (Dead_.count(To))
        return feed(Number, LinkFailed{Order.Host_, Order.Port_});
      const LinkId Id = ++LastLink_;
      Links_[Id] = {Number, To};
      feed(To, LinkOpened{Id, memberOf(Number), false, false});
      feed(Number, LinkOpened{Id, memberOf(To), false, true});
    }
  }

  void execute(unsigned Number, const SendPeer &Order) {
    const auto Found = Links_.find(Order.Link_);
    if (Found == Links_.end())
      return;
    const auto [From, To] = Found->second;
    feed(Number == From ? To : From, PeerSaid{Order.Link_, *Order.Message_});
  }

  void execute(unsigned Number, const CallDirectory &Order) {
    ++Calls_;
    const ports::DirectoryRequest &Asked = Order.Request_;
    ports::DirectoryResponse Answer;
    Answer.Revision_ = Revision_;
    if (Asked.Operation_ == DirectoryOperation::Watch) {
      if (Asked.Topic_ == DirectoryTopic::Servers) {
        Watches_.push_back(
            {Number, Order.Call_, Asked.After_, Now_ + Asked.Wait_});
        answerWatches();
      }
      return; // the configuration does not change here
    }
    if (Asked.Topic_ == DirectoryTopic::Configuration) {
      Answer.Configuration_.emplace();
      Answer.Configuration_->Version_ = 1;
      Answer.Configuration_->Preset_.Name_ = "version 1";
    } else if (Asked.Topic_ == DirectoryTopic::Servers) {
      for (const auto &Entry : Entries_)
        Answer.Servers_.push_back(Entry.second);
    } else if (Asked.Operation_ == DirectoryOperation::Read) {
      for (unsigned I = 0; I < ZoneSize; ++I)
        Answer.Members_.push_back(memberOf(I));
    }
    feed(Number, DirectoryAnswered{Order.Call_, Answer});
  }

  void answerWatches() {
    for (std::size_t I = 0; I < Watches_.size();) {
      const Watch Asked = Watches_[I];
      ports::DirectoryResponse Answer;
      Answer.Revision_ = Revision_;
      for (const auto &[Revision, Entry] : Log_)
        if (Revision > Asked.After_)
          Answer.Servers_.push_back(Entry);
      if (Answer.Servers_.empty() || Dead_.count(Asked.Process_)) {
        ++I;
        continue;
      }
      Watches_.erase(Watches_.begin() + static_cast<std::ptrdiff_t>(I));
      feed(Asked.Process_, DirectoryAnswered{Asked.Call_, Answer});
      I = 0;
    }
  }

  model::TimePoint Now_{model::seconds(1000)};
  std::vector<std::shared_ptr<CoreState>> Cores_;
  std::map<std::string, ports::ServerEntry> Entries_;
  std::vector<std::pair<std::uint64_t, ports::ServerEntry>> Log_;
  std::uint64_t Revision_ = 10;
  std::vector<Watch> Watches_;
  std::map<LinkId, std::pair<unsigned, unsigned>> Links_;
  LinkId LastLink_ = 0;
  std::set<unsigned> Dead_;
  std::map<unsigned, std::shared_ptr<const model::ControlView>> Views_;
  unsigned Calls_ = 0;
};

class SpreadingTheListOfServers : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadingTheListOfServers);
  CPPUNIT_TEST(bringsALeavingMarkToEveryProcessAtOnce);
  CPPUNIT_TEST(leavesTheDirectoryToAFewReaders);
  CPPUNIT_TEST(goesOnWithinTheBoundWhenAllReadersDie);
  CPPUNIT_TEST_SUITE_END();

public:
  void bringsALeavingMarkToEveryProcessAtOnce() {
    Zone Fleet;
    Fleet.put(server("a", true));
    Fleet.wait(model::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(ZoneSize, Fleet.knowingThatLeaves("a"));
  }

  void leavesTheDirectoryToAFewReaders() {
    Zone Fleet;
    Fleet.put(server("c")); // ends the watches from the start
    Fleet.wait(model::seconds(3));
    CPPUNIT_ASSERT(Fleet.watchers().size() <= 4);
    const unsigned Before = Fleet.calls();
    for (int I = 0; I < 20; ++I) {
      Fleet.put(server("s" + std::to_string(I)));
      Fleet.wait(model::milliseconds(500)); // ten seconds in all
    }
    // Each reader asks once in 0.7 s at the most.
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
    CPPUNIT_ASSERT_EQUAL(Fleet.alive(), Fleet.knowingThatLeaves("a"));
    Fleet.wait(model::seconds(8));
    Fleet.put(server("b", true));
    Fleet.wait(model::milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(Fleet.alive(), Fleet.knowingThatLeaves("b"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SpreadingTheListOfServers);

} // namespace
