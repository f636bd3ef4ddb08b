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

std::string longestPrefix(const std::vector<model::Route> &Routes,
                          const std::string &Path) {
  std::string Best;
  for (const model::Route &Route : Routes)
    if (Path.rfind(Route.PathPrefix_, 0) == 0 &&
        Route.PathPrefix_.size() > Best.size())
      Best = Route.PathPrefix_;
  return Best;
}

class FindingARoute : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FindingARoute);
  CPPUNIT_TEST(takesTheLongestMatchingPrefix);
  CPPUNIT_TEST_SUITE_END();

public:
  void takesTheLongestMatchingPrefix() {
    CPPUNIT_ASSERT(rc::check("same as a search through all prefixes", [] {
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
};
CPPUNIT_TEST_SUITE_REGISTRATION(FindingARoute);

} // namespace
