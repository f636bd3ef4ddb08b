#include "traffic/routetable.h"
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

class RouteLookup : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteLookup);
  CPPUNIT_TEST(takesTheLongestMatchingPrefix);
  CPPUNIT_TEST(prefersRoutesOfTheHost);
  CPPUNIT_TEST(distributesCallsByWeight);
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
};
CPPUNIT_TEST_SUITE_REGISTRATION(RouteLookup);

} // namespace
