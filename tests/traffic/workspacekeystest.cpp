#include "traffic/workspacekeys.h"
#include "codec/keydigest.h"
#include "model/preset.h"
#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <numeric>
#include <rapidcheck.h>

using namespace cumingauge;
using model::ResultCode;

namespace {

model::Workspaces makeWorkspaces() {
  return std::vector<model::Workspace>{
      {"north", {codec::keyDigest("k-1"), codec::keyDigest("k-2")}},
      {"south", {codec::keyDigest("k-3")}}};
}

class KeysOfWorkspaces : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeysOfWorkspaces);
  CPPUNIT_TEST(areFoundByTheWholeKeyOnly);
  CPPUNIT_TEST(areReadFromOneFieldOfTheScheme);
  CPPUNIT_TEST(areNotAskedForWithoutWorkspaces);
  CPPUNIT_TEST(letNobodyInWithoutOneWhereOneIsRequired);
  CPPUNIT_TEST(areCheckedInAPreset);
  CPPUNIT_TEST_SUITE_END();

  const traffic::WorkspaceKeys Keys_{makeWorkspaces()};

  traffic::CallerIdentity identify(std::vector<std::string> Credentials,
                                   bool KeyRequired = true) const {
    traffic::RequestHead Head;
    Head.Credentials_ = std::move(Credentials);
    return traffic::identifyCaller(Keys_, "Bearer", Head, KeyRequired);
  }

public:
  void areFoundByTheWholeKeyOnly() {
    CPPUNIT_ASSERT_EQUAL(std::string("north"), Keys_.find("k-2")->Name_);
    CPPUNIT_ASSERT_EQUAL(std::string("south"), Keys_.find("k-3")->Name_);
    CPPUNIT_ASSERT(!Keys_.find("k-"));
    CPPUNIT_ASSERT(!Keys_.find(""));
    CPPUNIT_ASSERT(!Keys_.find(codec::keyDigest("k-1")));
  }

  void areReadFromOneFieldOfTheScheme() {
    CPPUNIT_ASSERT_EQUAL(std::string("north"),
                         identify({"bearer k-1"}).Workspace_);
    CPPUNIT_ASSERT(identify({"Bearer k-4"}).Reason_ ==
                   ResultCode::RequestKeyUnknown);
    CPPUNIT_ASSERT(identify({"Bearer k-1", "Bearer k-1"}).Reason_ ==
                   ResultCode::RequestKeyMissing);
    CPPUNIT_ASSERT(
        rc::check("only the scheme, blanks and a key are taken", [this] {
          const auto Parts = *rc::gen::container<std::vector<std::string>>(
              rc::gen::element<std::string>(" ", "k-1", "k", ",", "\t",
                                            "\xff"));
          const std::string Text =
              std::accumulate(Parts.begin(), Parts.end(), std::string());
          const auto Got = identify({"Bearer" + Text});
          const bool IsKey = Text.size() > 3 &&
                             Text.substr(Text.size() - 4) == " k-1" &&
                             std::count(Text.begin(), Text.end(), ' ') ==
                                 static_cast<std::ptrdiff_t>(Text.size() - 3);
          RC_ASSERT((Got.Reason_ == ResultCode::Ok) == IsKey);
          RC_ASSERT((Got.Workspace_ == "north") == IsKey);
        }));
  }

  void areNotAskedForWithoutWorkspaces() {
    traffic::RequestHead Head;
    Head.Credentials_ = {"Bearer k-1"};
    const auto Got = traffic::identifyCaller({}, "Bearer", Head, false);
    CPPUNIT_ASSERT(Got.Reason_ == ResultCode::Ok);
    CPPUNIT_ASSERT(Got.PassesCredentials_);
    CPPUNIT_ASSERT(Got.Workspace_.empty());
    CPPUNIT_ASSERT(!identify({"Basic abc"}, false).PassesCredentials_);
  }

  void letNobodyInWithoutOneWhereOneIsRequired() {
    traffic::RequestHead Head;
    Head.Credentials_ = {"Bearer k-1"};
    const auto Got = traffic::identifyCaller({}, "Bearer", Head, true);
    CPPUNIT_ASSERT(Got.Reason_ == ResultCode::RequestKeyUnknown);
    CPPUNIT_ASSERT(!Got.PassesCredentials_);
  }

  void areCheckedInAPreset() {
    const auto CountProblems = [](const std::vector<model::Workspace> &Values) {
      return model::checkWorkspaces(Values, "").size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), CountProblems(*makeWorkspaces()));
    const std::string Digest = codec::keyDigest("k-4");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountProblems({{"", {}}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountProblems({{"a\nb", {}}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountProblems({{"a", {"k-4"}}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountProblems({{"a", {}}, {"a", {}}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         CountProblems({{"a", {Digest}}, {"b", {Digest}}}));
    const auto CountQuotaProblems = [&](double Rate, double Burst) {
      return CountProblems({{"a", {}, model::CallQuota{Rate, Burst}}});
    };
    const double Infinite = std::numeric_limits<double>::infinity();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), CountQuotaProblems(0.5, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), CountQuotaProblems(-1, 0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         CountQuotaProblems(Infinite, std::nan("")));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeysOfWorkspaces);

} // namespace
