#include "control/creditbucket.h"
#include "control/quotafleet.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;
using model::milliseconds;
using model::seconds;

namespace {

/// The workspace that sends more than its quota; the others stay below theirs.
constexpr unsigned Crowded = 2;
constexpr unsigned Processes = 24;

std::string numbers(const CallDecision &Decision) {
  const auto Waited =
      std::chrono::duration_cast<milliseconds>(Decision.Waited_);
  return "workspace " + std::to_string(Decision.Workspace_) + ", answer " +
         std::to_string(static_cast<int>(Decision.Answer_)) + " after " +
         std::to_string(Waited.count()) + " ms";
}

/// Guards against one workspace beyond its quota that delays the credit of all
/// others, until calls end at their deadlines.
class QuotaUnderOverload : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaUnderOverload);
  CPPUNIT_TEST(refusesWhatIsBeyondAtOnceAndServesTheOthers);
  CPPUNIT_TEST(refusesNearlyAllWithinMilliseconds);
  CPPUNIT_TEST(costsFewMessagesForWhatIsRefused);
  CPPUNIT_TEST(isServedAgainSoonAfterTheOverload);
  CPPUNIT_TEST_SUITE_END();

  QuotaFleet Fleet_{Processes, 1};

  /// Calls of all workspaces, each evenly at a multiple of its quota's rate.
  void serve(milliseconds Time, double CrowdedFactor, double OtherFactor) {
    constexpr milliseconds Step{5};
    std::array<double, QuotaFleet::Workspaces> Due{};
    for (milliseconds Elapsed{0}; Elapsed < Time; Elapsed += Step) {
      for (unsigned I = 0; I < QuotaFleet::Workspaces; ++I) {
        Due[I] += QuotaFleet::quotaOf(I).RequestsPerSecond_ * 0.005 *
                  (I == Crowded ? CrowdedFactor : OtherFactor);
        for (; Due[I] >= 1; Due[I] -= 1)
          Fleet_.call(I);
      }
      Fleet_.run(Step);
    }
  }

  /// Returns the time that a share of the refused calls waited at most.
  model::Duration waitOfRefused(double Share) const {
    std::vector<model::Duration> Waits;
    for (const CallDecision &Each : Fleet_.decisions())
      if (Each.Answer_ == CreditAnswer::Refused)
        Waits.push_back(Each.Waited_);
    CPPUNIT_ASSERT(!Waits.empty());
    std::sort(Waits.begin(), Waits.end());
    return Waits[static_cast<std::size_t>(
        static_cast<double>(Waits.size() - 1) * Share)];
  }

public:
  void setUp() override {
    Fleet_.run(seconds(10));
    Fleet_.setCreditCost(model::microseconds(2500));
    serve(seconds(5), 0.5, 0.5);
  }

  /// Guards against refusals that wait for several issuers one after the other.
  void refusesWhatIsBeyondAtOnceAndServesTheOthers() {
    serve(seconds(14), 12, 0.5);
    Fleet_.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet_.undecided());
    for (const CallDecision &Each : Fleet_.decisions()) {
      if (Each.Workspace_ != Crowded)
        CPPUNIT_ASSERT_MESSAGE(numbers(Each),
                               Each.Answer_ == CreditAnswer::Granted &&
                                   Each.Waited_ < milliseconds(100));
      CPPUNIT_ASSERT_MESSAGE(numbers(Each),
                             Each.Answer_ != CreditAnswer::Unknown &&
                                 Each.Waited_ < milliseconds(300));
    }
    CPPUNIT_ASSERT(waitOfRefused(0.5) < milliseconds(5));
  }

  /// Guards against refusals that wait behind the questions of other calls.
  void refusesNearlyAllWithinMilliseconds() {
    serve(seconds(14), 12, 0.5);
    Fleet_.run(seconds(2));
    CPPUNIT_ASSERT(waitOfRefused(0.99) < milliseconds(30));
  }

  /// Guards against questions whose number grows with the calls. A process asks
  /// a part once for each grant and once for each time that it was told to
  /// wait; a question and its answer are two messages.
  void costsFewMessagesForWhatIsRefused() {
    const unsigned Before = Fleet_.messages();
    const unsigned Granted = Fleet_.granted();
    constexpr unsigned Seconds = 14;
    serve(seconds(Seconds), 12, 0.5);
    const unsigned Messages = Fleet_.messages() - Before;
    const unsigned Grants = Fleet_.granted() - Granted;
    const unsigned Bound =
        2 * (2 * Grants + Processes * CreditParts * Seconds * 2);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Messages) + " messages of " +
                               std::to_string(Bound),
                           Messages <= Bound);
    const double Rate = QuotaFleet::quotaOf(Crowded).RequestsPerSecond_;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Grants) + " grants",
                           Grants > 0.95 * Rate * Seconds);
  }

  /// Guards against a word of an issuer that counts long after it was true.
  void isServedAgainSoonAfterTheOverload() {
    serve(seconds(5), 12, 0.5);
    serve(seconds(1), 0.5, 0.5);
    const unsigned Refused = Fleet_.refused() + Fleet_.unknown();
    serve(seconds(10), 0.5, 0.5);
    CPPUNIT_ASSERT_EQUAL(Refused, Fleet_.refused() + Fleet_.unknown());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaUnderOverload);

} // namespace
