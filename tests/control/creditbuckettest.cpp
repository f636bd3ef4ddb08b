#include "control/creditissuer.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::control;
using model::CallQuota;
using model::milliseconds;
using model::seconds;
using model::TimePoint;

namespace {

constexpr TimePoint Start{seconds(1000)};

unsigned granted(CreditIssuer &Issuer, const CallQuota &Quota, TimePoint Now,
                 unsigned Calls = 1000) {
  unsigned Out = 0;
  for (unsigned I = 0; I < Calls; ++I)
    if (issueCredit(Issuer, "a", Quota, Now).Answer_ == CreditAnswer::Granted)
      ++Out;
  return Out;
}

class CreditOfOnePart : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CreditOfOnePart);
  CPPUNIT_TEST(isFullOnlyAtTheFirstIssuer);
  CPPUNIT_TEST(isCutByALowerQuotaAtOnce);
  CPPUNIT_TEST(tellsRefusedCallersToReturnInTurn);
  CPPUNIT_TEST(staysBelowTheQuotaInEveryWindow);
  CPPUNIT_TEST_SUITE_END();

public:
  void isFullOnlyAtTheFirstIssuer() {
    const CallQuota Quota{60, 60};
    CreditIssuer First{Start, true, {}};
    CPPUNIT_ASSERT_EQUAL(12U, granted(First, Quota, Start));
    CreditIssuer Next{Start, false, {}};
    CPPUNIT_ASSERT_EQUAL(0U, granted(Next, Quota, Start));
    CPPUNIT_ASSERT_EQUAL(10U, granted(Next, Quota, Start + seconds(1)));
  }

  void isCutByALowerQuotaAtOnce() {
    CreditIssuer Issuer{Start, true, {}};
    CPPUNIT_ASSERT_EQUAL(1U, granted(Issuer, {600, 600}, Start, 1));
    CPPUNIT_ASSERT_EQUAL(3U, granted(Issuer, {6, 6}, Start));
    CPPUNIT_ASSERT_EQUAL(1U, granted(Issuer, {6, 6}, Start + seconds(1)));
  }

  void tellsRefusedCallersToReturnInTurn() {
    CreditIssuer Issuer{Start, false, {}};
    const CallQuota Quota{6, 0};
    // Three parts refuse each caller, of which one is asked again.
    for (const int Expected : {1000, 1334, 1667, 2000})
      CPPUNIT_ASSERT_EQUAL(
          Expected,
          static_cast<int>(
              issueCredit(Issuer, "a", Quota, Start).RetryAfter_.count()));
    for (unsigned I = 0; I < 1000; ++I)
      CPPUNIT_ASSERT(issueCredit(Issuer, "a", Quota, Start).RetryAfter_ <=
                     seconds(10));
  }

  void staysBelowTheQuotaInEveryWindow() {
    CPPUNIT_ASSERT(
        rc::check("grants of a part that changes its issuer and its quota", [] {
          const auto Rates = *rc::gen::container<std::vector<double>>(
              40, rc::gen::element(6.0, 60.0, 600.0));
          CreditIssuer Issuer{Start, true, {}};
          std::vector<TimePoint> Grants;
          TimePoint Now = Start;
          for (const double Rate : Rates) {
            Now += milliseconds(*rc::gen::inRange(0, 500));
            if (*rc::gen::inRange(0, 8) == 0)
              Issuer = {Now, false, {}};
            for (unsigned I = 0; I < 30; ++I)
              if (issueCredit(Issuer, "a", {Rate, Rate}, Now).Answer_ ==
                  CreditAnswer::Granted)
                Grants.push_back(Now);
          }
          const CallQuota Part = partOf({600, 600});
          for (std::size_t From = 0; From < Grants.size(); ++From)
            for (std::size_t To = From; To < Grants.size(); ++To) {
              const std::chrono::duration<double> Window =
                  Grants[To] - Grants[From];
              RC_ASSERT(static_cast<double>(To - From + 1) <=
                        Part.RequestsPerSecond_ * Window.count() + Part.Burst_ +
                            1e-6);
            }
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CreditOfOnePart);

} // namespace
