#include "control/linkchoice.h"
#include "control/membertable.h"
#include "fakefleet.h"
#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::fakes;
using model::Member;
using model::MemberStatus;
using model::seconds;

namespace {

std::vector<Member> makeMembers(unsigned Count, unsigned Zones,
                                unsigned Regions) {
  std::vector<Member> Out;
  for (unsigned I = 0; I < Count; ++I) {
    Member Value;
    Value.Process_ = "entry-" + std::to_string(I);
    Value.Zone_ = "zone-" + std::to_string(I % Zones);
    Value.Region_ = "region-" + std::to_string(I % Zones % Regions);
    Out.push_back(Value);
  }
  return Out;
}

/// Returns the links that the processes choose, in both directions.
std::vector<std::set<unsigned>> overlay(const std::vector<Member> &Members) {
  std::vector<std::set<unsigned>> Out(Members.size());
  for (unsigned I = 0; I < Members.size(); ++I) {
    std::vector<const Member *> Others;
    for (const Member &Other : Members)
      if (&Other != &Members[I])
        Others.push_back(&Other);
    for (const Member *Peer : choosePeers(Members[I], Others, LinkCounts())) {
      const auto J = static_cast<unsigned>(Peer - Members.data());
      Out[I].insert(J);
      Out[J].insert(I);
    }
  }
  return Out;
}

/// Returns the number of processes that are connected with the first one when a
/// zone is lost.
std::size_t reachable(const std::vector<std::set<unsigned>> &Links,
                      const std::vector<Member> &Members,
                      const std::string &LostZone) {
  const auto IsThere = [&](unsigned I) { return Members[I].Zone_ != LostZone; };
  unsigned First = 0;
  while (!IsThere(First))
    ++First;
  std::set<unsigned> Seen{First};
  std::vector<unsigned> Next{First};
  while (!Next.empty()) {
    const unsigned I = Next.back();
    Next.pop_back();
    for (const unsigned J : Links[I])
      if (IsThere(J) && Seen.insert(J).second)
        Next.push_back(J);
  }
  return Seen.size();
}

class FleetLinks : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLinks);
  CPPUNIT_TEST(stayConnectedWhenAZoneDies);
  CPPUNIT_TEST(areBoundedPerProcess);
  CPPUNIT_TEST_SUITE_END();

public:
  void stayConnectedWhenAZoneDies() {
    for (const auto &[Count, Zones, Regions] :
         {std::array<unsigned, 3>{14, 3, 1},
          {14, 4, 1},
          {50, 3, 1},
          {200, 9, 4},
          {500, 9, 4}}) {
      const auto Members = makeMembers(Count, Zones, Regions);
      const auto Links = overlay(Members);
      CPPUNIT_ASSERT_EQUAL(std::size_t(Count), reachable(Links, Members, ""));
      for (unsigned Zone = 0; Zone < Zones; ++Zone) {
        const unsigned Lost = Count / Zones + (Zone < Count % Zones ? 1 : 0);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t(Count - Lost),
            reachable(Links, Members, "zone-" + std::to_string(Zone)));
      }
    }
  }

  void areBoundedPerProcess() {
    for (const unsigned Count : {14U, 50U, 200U, 500U}) {
      const auto Links = overlay(makeMembers(Count, 9, 4));
      for (const auto &Own : Links)
        CPPUNIT_ASSERT(Own.size() <= 24);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetLinks);

class AMemberUpdate : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AMemberUpdate);
  CPPUNIT_TEST(yieldsToAHigherIncarnation);
  CPPUNIT_TEST(isContradictedByTheMemberItself);
  CPPUNIT_TEST_SUITE_END();

public:
  void yieldsToAHigherIncarnation() {
    MemberTable Table;
    Member Peer;
    Peer.Process_ = "peer";
    Peer.Incarnation_ = 5;
    CPPUNIT_ASSERT(mergeMember(Table, Peer, Now_) == MemberEffect::Joined);
    Peer.Status_ = MemberStatus::Dead;
    CPPUNIT_ASSERT(mergeMember(Table, Peer, Now_) == MemberEffect::Dead);
    Peer.Status_ = MemberStatus::Alive;
    CPPUNIT_ASSERT(mergeMember(Table, Peer, Now_) == MemberEffect::None);
    Peer.Incarnation_ = 6;
    CPPUNIT_ASSERT(mergeMember(Table, Peer, Now_) == MemberEffect::Joined);
  }

  void isContradictedByTheMemberItself() {
    MemberTable Table;
    Table.Self_ = "self";
    Member Self;
    Self.Process_ = "self";
    Self.Incarnation_ = 5;
    Table.Records_["self"] = {Self, Now_};
    Self.Status_ = MemberStatus::Suspected;
    CPPUNIT_ASSERT(mergeMember(Table, Self, Now_) == MemberEffect::Refuted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6),
                         findMember(Table, "self")->Member_.Incarnation_);
  }

private:
  const model::TimePoint Now_{std::chrono::hours(1)};
};
CPPUNIT_TEST_SUITE_REGISTRATION(AMemberUpdate);

class FleetMembership : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetMembership);
  CPPUNIT_TEST(noticesDeathAndReturn);
  CPPUNIT_TEST(noticesAnAnnouncedLeaveAtOnce);
  CPPUNIT_TEST(joinsAgainAfterMinutesInTwoHalves);
  CPPUNIT_TEST(countsTheLargerOfListAndMembers);
  CPPUNIT_TEST(givesEachProcessItsOwnProbePlaceInBothHalves);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    for (unsigned I = 0; I < Size; ++I)
      Fleet_.start(I);
    Fleet_.write(model::PutPreset{samples::preset("ordinary")}, "ops");
    Fleet_.run(seconds(20));
  }

  void noticesDeathAndReturn() {
    Fleet_.kill(3);
    Fleet_.run(seconds(10));
    CPPUNIT_ASSERT_EQUAL(Size - 1, seenAlive(0));
    Fleet_.start(3);
    Fleet_.run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(Size, seenAlive(0));
  }

  void noticesAnAnnouncedLeaveAtOnce() {
    Fleet_.stop(3);
    Fleet_.run(model::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(Size - 1, seenAlive(0));
  }

  void joinsAgainAfterMinutesInTwoHalves() {
    for (unsigned I = 0; I < Size / 2; ++I)
      Fleet_.Processes_[I].Partition_ = 1;
    Fleet_.run(seconds(180));
    CPPUNIT_ASSERT_EQUAL(Size / 2, seenAlive(0));
    CPPUNIT_ASSERT_EQUAL(Size / 2, seenAlive(Size - 1));
    for (unsigned I = 0; I < Size / 2; ++I)
      Fleet_.Processes_[I].Partition_ = 0;
    Fleet_.run(seconds(30));
    for (unsigned I = 0; I < Size; ++I)
      CPPUNIT_ASSERT_EQUAL(Size, seenAlive(I));
  }

  void countsTheLargerOfListAndMembers() {
    Fleet_.Store_.Vms_.push_back({"entry-unseen", false, "cumingauge"});
    Fleet_.run(seconds(10));
    for (const FakeProcess &Process : Fleet_.Processes_)
      CPPUNIT_ASSERT_EQUAL(Size + 1, Process.View_->FleetSize_);
  }

  void givesEachProcessItsOwnProbePlaceInBothHalves() {
    for (unsigned I = 0; I < Size / 2; ++I)
      Fleet_.Processes_[I].Partition_ = 1;
    Fleet_.run(seconds(180));
    std::set<unsigned> Ranks;
    for (const FakeProcess &Process : Fleet_.Processes_) {
      CPPUNIT_ASSERT(Process.View_->ProberCount_ >= Size);
      Ranks.insert(Process.View_->ProberRank_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(Size), Ranks.size());
  }

private:
  unsigned seenAlive(unsigned Index) {
    const auto Status =
        describeCore(*Fleet_.Processes_[Index].Core_, Fleet_.Now_);
    unsigned Out = 0;
    for (const Member &Value : Status.Members_)
      Out += Value.Status_ == MemberStatus::Alive ? 1 : 0;
    return Out;
  }

  static constexpr unsigned Size = 12;
  FakeFleet Fleet_{Size, 21};
};
CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembership);

class AFleetThatStartsAtOnce : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AFleetThatStartsAtOnce);
  CPPUNIT_TEST(linksEveryProcessThoughFewSeedsRefuseMostOfThem);
  CPPUNIT_TEST_SUITE_END();

  static constexpr unsigned Processes = 120;
  static constexpr unsigned Seeds = 3;

public:
  void linksEveryProcessThoughFewSeedsRefuseMostOfThem() {
    FakeFleet Fleet(Processes, 5);
    for (FakeProcess &Process : Fleet.Processes_)
      Process.Settings_.SeedPeers_.resize(Seeds);
    for (unsigned I = 0; I < Processes; ++I)
      Fleet.start(I);
    Fleet.run(seconds(30));
    for (const FakeProcess &Process : Fleet.Processes_) {
      const auto Status = describeCore(*Process.Core_, Fleet.Now_);
      CPPUNIT_ASSERT_MESSAGE(Status.Process_, Status.Links_ > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Status.Process_, std::size_t(Processes),
                                   Status.Members_.size());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AFleetThatStartsAtOnce);

} // namespace
