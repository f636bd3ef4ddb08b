#include "traffic/routetable.h"
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;

namespace {

std::string pathOf(const std::vector<char> &Letters) {
  return "/" + std::string(Letters.begin(), Letters.end());
}

rc::Gen<std::string> anyPath() {
  return rc::gen::map(
      rc::gen::container<std::vector<char>>(rc::gen::element('a', 'b', '/')),
      pathOf);
}

/// Finds the longest matching prefix by trying all of them.
std::string longestPrefix(const std::vector<model::Route> &Routes,
                          const std::string &Path) {
  std::string Best;
  for (const model::Route &Route : Routes)
    if (Path.rfind(Route.PathPrefix_, 0) == 0 &&
        Route.PathPrefix_.size() > Best.size())
      Best = Route.PathPrefix_;
  return Best;
}

/// The processes of a fleet, each of which sees few of the calls of a route
/// that is shared by two services, while the server list changes often.
class SharingFleet {
public:
  SharingFleet(unsigned Processes, double ShareOfOne) {
    Shared_.PathPrefix_ = "/";
    Shared_.Parts_ = {{"one", ShareOfOne}, {"two", 1 - ShareOfOne}};
    for (unsigned I = 0; I < Processes; ++I) {
      Starts_.push_back(*rc::gen::inRange(0, 1000) / 1000.0);
      Tables_.emplace_back(std::vector{Shared_}, Starts_.back());
    }
  }

  void changeServerList() {
    for (std::size_t I = 0; I < Tables_.size(); ++I)
      Tables_[I].replaceRoutes({Shared_}, Starts_[I]);
  }

  /// Returns whether the call goes to the first service.
  bool call(std::size_t Process) {
    return Tables_[Process].choose("", "/x")->Service_ == "one";
  }

  std::size_t size() const { return Tables_.size(); }

private:
  model::Route Shared_;
  std::vector<double> Starts_;
  std::vector<traffic::RouteTable> Tables_;
};

class RouteLookup : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteLookup);
  CPPUNIT_TEST(takesTheLongestMatchingPrefix);
  CPPUNIT_TEST(prefersRoutesOfTheHost);
  CPPUNIT_TEST(distributesCallsByWeight);
  CPPUNIT_TEST(keepsTheSharesWhileTheServerListChanges);
  CPPUNIT_TEST(keepsTheSharesWhileOneServiceRefusesItsCalls);
  CPPUNIT_TEST(startsTheSequenceAnewWhenTheWeightsChange);
  CPPUNIT_TEST_SUITE_END();

public:
  void takesTheLongestMatchingPrefix() {
    CPPUNIT_ASSERT(
        rc::check("the table finds the same as a search through all", [] {
          std::vector<model::Route> Routes;
          for (const std::string &Prefix :
               *rc::gen::container<std::vector<std::string>>(anyPath())) {
            Routes.emplace_back();
            Routes.back().PathPrefix_ = Prefix;
          }
          const std::string Path = *anyPath();
          const auto Found = traffic::RouteTable(Routes).find(Path);
          RC_ASSERT((Found ? Found->PathPrefix_ : "") ==
                    longestPrefix(Routes, Path));
        }));
  }

  void prefersRoutesOfTheHost() {
    model::Route Any;
    Any.Name_ = "any";
    Any.PathPrefix_ = "/a/b/";
    model::Route Own;
    Own.Name_ = "own";
    Own.PathPrefix_ = "/a/";
    Own.Host_ = "Ficu.example";
    const traffic::RouteTable Table({Any, Own});
    CPPUNIT_ASSERT_EQUAL(std::string("own"),
                         Table.find("/a/b/c", "ficu.example:8080")->Name_);
    CPPUNIT_ASSERT_EQUAL(std::string("any"),
                         Table.find("/a/b/c", "other.example")->Name_);
    CPPUNIT_ASSERT(!Table.find("/a/c", "other.example"));
  }

  /// The share of each service must be right after 50 calls already, since each
  /// process distributes only its own calls.
  void distributesCallsByWeight() {
    CPPUNIT_ASSERT(rc::check("each share is right within two calls", [] {
      const auto Weight = *rc::gen::inRange(0, 101);
      model::Route Shared;
      Shared.PathPrefix_ = "/";
      Shared.Parts_ = {{"one", double(Weight)}, {"two", 100.0 - Weight}};
      traffic::RouteTable Table({Shared}, *rc::gen::inRange(0, 100) / 100.0);
      constexpr int Calls = 50;
      int ToOne = 0;
      for (int I = 0; I < Calls; ++I)
        ToOne += Table.choose("", "/x")->Service_ == "one";
      RC_ASSERT(std::abs(ToOne - Calls * Weight / 100.0) <= 2);
    }));
  }

  /// Each process gets one call or two between changes of the server list, as
  /// in a release of a service. The fleet's share may be off by 0.1 in 300
  /// calls, half of what the platform's rules allow.
  void keepsTheSharesWhileTheServerListChanges() {
    for (const unsigned Processes : {13u, 115u})
      CPPUNIT_ASSERT(rc::check("each share of 300 calls holds", [Processes] {
        const double Share = *rc::gen::element(0.05, 0.1, 0.25, 0.5, 0.9);
        SharingFleet Fleet(Processes, Share);
        int ToOne = 0;
        for (unsigned I = 0; I < 300; ++I) {
          if (I % Processes == 0)
            Fleet.changeServerList();
          ToOne += Fleet.call(*rc::gen::inRange<std::size_t>(0, Fleet.size()));
        }
        RC_ASSERT(std::abs(ToOne / 300.0 - Share) <= 0.1);
      }));
  }

  /// Calls that the short service refuses come back once at another process;
  /// they count as calls, and are shared like all others.
  void keepsTheSharesWhileOneServiceRefusesItsCalls() {
    for (const unsigned Processes : {13u, 115u})
      CPPUNIT_ASSERT(rc::check("a refusal moves no share", [Processes] {
        const double Share = *rc::gen::element(0.1, 0.25, 0.5);
        SharingFleet Fleet(Processes, Share);
        const auto AnyProcess = [&Fleet] {
          return *rc::gen::inRange<std::size_t>(0, Fleet.size());
        };
        int Calls = 0;
        int ToOne = 0;
        while (Calls < 300) {
          ++Calls;
          if (!Fleet.call(AnyProcess()))
            continue;
          ++ToOne;
          ++Calls;
          ToOne += Fleet.call(AnyProcess());
        }
        RC_ASSERT(std::abs(ToOne / double(Calls) - Share) <= 0.1);
      }));
  }

  void startsTheSequenceAnewWhenTheWeightsChange() {
    model::Route Shared;
    Shared.PathPrefix_ = "/";
    Shared.Parts_ = {{"one", 100}, {"two", 0}};
    traffic::RouteTable Table({Shared}, 0);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), Table.choose("", "/x")->Service_);
    Shared.Parts_ = {{"one", 0}, {"two", 100}};
    Table.replaceRoutes({Shared}, 0);
    CPPUNIT_ASSERT_EQUAL(std::string("two"), Table.choose("", "/x")->Service_);
    Table.replaceRoutes({}, 0);
    CPPUNIT_ASSERT(!Table.choose("", "/x"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouteLookup);

} // namespace
