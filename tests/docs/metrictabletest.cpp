#include "adapters/metricspage.h"
#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace cumingauge;

namespace {

std::set<std::string> findNames(const std::string &File, const char *Pattern) {
  std::ifstream In(File);
  std::ostringstream Text;
  Text << In.rdbuf();
  const std::string Whole = Text.str();
  const std::regex Name(Pattern);
  std::set<std::string> Out;
  for (std::sregex_iterator I(Whole.begin(), Whole.end(), Name), End; I != End;
       ++I)
    Out.insert((*I)[1].str());
  return Out;
}

class TheMetricsPage : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TheMetricsPage);
  CPPUNIT_TEST(isDocumentedCompletelyWithoutUnknownNames);
  CPPUNIT_TEST(hasEveryMetricThatTheAlertRulesUse);
  CPPUNIT_TEST(rendersCallCountersAndHistograms);
  CPPUNIT_TEST_SUITE_END();

public:
  void isDocumentedCompletelyWithoutUnknownNames() {
    const std::vector<std::string> Names = adapters::metricNames();
    CPPUNIT_ASSERT(std::set<std::string>(Names.begin(), Names.end()) ==
                   findNames(SOURCE_DIR "/docs/operators/metrics.md",
                             R"(\| `(cumingauge_\w+)` \|)"));
  }

  void hasEveryMetricThatTheAlertRulesUse() {
    const std::vector<std::string> Names = adapters::metricNames();
    for (const std::string &Used : findNames(
             SOURCE_DIR "/docs/operators/alerts.yaml", R"((cumingauge_\w+))"))
      CPPUNIT_ASSERT_MESSAGE(
          Used, std::find(Names.begin(), Names.end(), Used) != Names.end());
  }

  void rendersCallCountersAndHistograms() {
    adapters::MetricsInput Input;
    traffic::recordCall(Input.Traffic_.Routes_["search"],
                        model::ResultCode::NotRunShed, model::milliseconds(3));
    traffic::recordCredit(Input.Traffic_.Credit_,
                          control::CreditAnswer::Refused,
                          model::milliseconds(3));
    traffic::recordCredit(Input.Traffic_.Credit_,
                          control::CreditAnswer::Granted, std::nullopt);
    const std::string Page = adapters::renderMetrics(Input);
    const auto ExpectLine = [&](const char *Line) {
      CPPUNIT_ASSERT_MESSAGE(Page, Page.find(Line) != std::string::npos);
    };
    ExpectLine("cumingauge_calls_total{route=\"search\",code=\"104\","
               "name=\"NotRunShed\"} 1");
    ExpectLine("cumingauge_call_duration_seconds_bucket{route=\"search\","
               "le=\"0.002\"} 0");
    ExpectLine("cumingauge_call_duration_seconds_bucket{route=\"search\","
               "le=\"0.004\"} 1");
    ExpectLine("cumingauge_call_duration_seconds_bucket{route=\"search\","
               "le=\"+Inf\"} 1");
    ExpectLine("cumingauge_credit_answers_total{answer=\"granted\"} 1");
    ExpectLine("cumingauge_credit_answers_total{answer=\"refused\"} 1");
    ExpectLine("cumingauge_credit_wait_seconds_bucket{le=\"0.002\"} 0");
    ExpectLine("cumingauge_credit_wait_seconds_bucket{le=\"0.004\"} 1");
    ExpectLine("cumingauge_unused_credit_total 1");
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(TheMetricsPage);

} // namespace
