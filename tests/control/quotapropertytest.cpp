#include "control/creditbucket.h"
#include "control/quotafleet.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>

using namespace cumingauge;
using namespace cumingauge::control;
using namespace cumingauge::control::fakes;
using model::milliseconds;
using model::seconds;
using model::TimePoint;

namespace {

using Times = std::vector<TimePoint>;

double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

/// Returns the largest number of calls beyond a rate that were started in any
/// window.
double largestExcess(const Times &Starts, double Rate) {
  double Largest = 0;
  double Lowest = 0;
  for (std::size_t I = 0; I < Starts.size(); ++I) {
    const double Due = Rate * secondsBetween(Starts.front(), Starts[I]);
    const auto Before = static_cast<double>(I);
    Lowest = I == 0 ? Before - Due : std::min(Lowest, Before - Due);
    Largest = std::max(Largest, Before + 1 - Due - Lowest);
  }
  return Largest;
}

/// Returns the largest number of calls that were started within 5 s.
std::size_t mostInFiveSeconds(const Times &Starts) {
  std::size_t Most = 0;
  std::size_t From = 0;
  for (std::size_t I = 0; I < Starts.size(); ++I) {
    while (Starts[I] - Starts[From] > seconds(5))
      ++From;
    Most = std::max(Most, I + 1 - From);
  }
  return Most;
}

/// Returns the spans in which no process had a larger factor in force, without
/// the time in which credit from before may be used.
std::vector<std::pair<TimePoint, TimePoint>> spansUpTo(const QuotaFleet &Fleet,
                                                       double Factor) {
  std::vector<std::pair<TimePoint, TimePoint>> Out;
  std::optional<TimePoint> Begin;
  for (const auto &[At, Largest] : Fleet.largestFactors()) {
    if (Largest <= Factor && !Begin)
      Begin = At + milliseconds(310);
    if (Largest > Factor && Begin) {
      Out.push_back({*Begin, At});
      Begin.reset();
    }
  }
  if (Begin)
    Out.push_back({*Begin, Fleet.now()});
  return Out;
}

/// One run with random faults.
class Run {
public:
  explicit Run(std::uint64_t Seed)
      : Name_("seed " + std::to_string(Seed)),
        Fleet_(4 + static_cast<unsigned>(Seed % 5), Seed,
               QuotaFleet::Quotas::With, Seed % 3 == 0 ? 1 : 0),
        HasFaults_(Seed % 4 != 0), HasEras_(Seed % 3 == 0) {}

  void play() {
    Fleet_.run(seconds(10));
    Demand_ = HasFaults_ ? 3 : 0.8;
    for (unsigned I = 0; I < 25; ++I) {
      if (HasFaults_)
        disturb();
      serve(milliseconds(500 + Fleet_.draw(2000)));
    }
    Fleet_.setStore(QuotaFleet::StoreFault::None);
    Fleet_.setCreditFaults(0);
    Fleet_.configure(1);
    Demand_ = 0.5;
    serve(seconds(40));
    checkService();
    checkBounds();
  }

private:
  /// Causes one random fault, which ends by itself.
  void disturb() {
    const unsigned Process = Fleet_.draw(Fleet_.size());
    const milliseconds Time(200 + Fleet_.draw(12000));
    switch (Fleet_.draw(12)) {
    case 0:
      return Fleet_.restart(Process, milliseconds(50 + Fleet_.draw(10000)));
    case 1:
      return Fleet_.pause(Process, Time);
    case 2:
      Fleet_.cutFromPeers(Process, true);
      return Fleet_.after(
          Time, [this, Process] { Fleet_.cutFromPeers(Process, false); });
    case 3:
      Fleet_.cutFromStore(Process, true);
      return Fleet_.after(
          Time, [this, Process] { Fleet_.cutFromStore(Process, false); });
    case 4:
      return Fleet_.setCreditFaults(Fleet_.draw(30));
    case 5:
      Fleet_.setStore(static_cast<QuotaFleet::StoreFault>(1 + Fleet_.draw(3)));
      return Fleet_.after(
          Time, [this] { Fleet_.setStore(QuotaFleet::StoreFault::None); });
    case 6:
      for (unsigned I = 0; I < Fleet_.size(); ++I)
        Fleet_.restart(I, milliseconds(50 + Fleet_.draw(500)));
      return;
    case 7:
      Fleet_.slowStore(Process, milliseconds(7500));
      return Fleet_.after(Time, [this, Process] {
        Fleet_.slowStore(Process, milliseconds(0));
        Fleet_.cutFromStore(Process, true);
        Fleet_.after(milliseconds(Fleet_.draw(12000)),
                     [this, Process] { Fleet_.cutFromStore(Process, false); });
      });
    case 8:
      return Fleet_.holdReplies(milliseconds(Fleet_.draw(4500)));
    case 9:
      if (HasEras_)
        Fleet_.restoreStore(milliseconds(Fleet_.draw(20000)));
      return;
    default:
      return Fleet_.configure(std::array{0.5, 1.0, 2.0}[Fleet_.draw(3)]);
    }
  }

  /// Lets callers ask for a multiple of the quotas, in bursts. Below one they
  /// keep to the quota and its burst.
  void serve(milliseconds Time) {
    const TimePoint End = Fleet_.now() + Time;
    while (Fleet_.now() < End) {
      Fleet_.run(milliseconds(20));
      for (unsigned I = 0; I < QuotaFleet::Workspaces; ++I) {
        const model::CallQuota Quota = QuotaFleet::quotaOf(I);
        const double Gained = Quota.RequestsPerSecond_ * Demand_ * 0.02;
        Allowed_[I] = std::min(Allowed_[I] + Gained, Quota.Burst_);
        const bool IsBurst = Fleet_.draw(40) == 0;
        while (Allowed_[I] >= (IsBurst ? 1 : Quota.Burst_ / 2)) {
          Allowed_[I] -= 1;
          Fleet_.call(I);
        }
      }
      for (unsigned Part = 0; Part < CreditParts; ++Part)
        CPPUNIT_ASSERT_MESSAGE(Name_, Fleet_.issuers(Part) <= 1);
    }
  }

  /// Checks that all calls below the quota are granted without faults, and that
  /// each request is decided once.
  void checkService() {
    const unsigned Refused = Fleet_.refused();
    const unsigned Unknown = Fleet_.unknown();
    const unsigned Granted = Fleet_.granted();
    if (!HasFaults_)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Name_, 0U, Refused + Unknown);
    Demand_ = 0.8;
    serve(seconds(10));
    Demand_ = 0;
    Fleet_.run(seconds(2));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Name_ + ", refused", Refused,
                                 Fleet_.refused());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Name_ + ", unknown", Unknown,
                                 Fleet_.unknown());
    CPPUNIT_ASSERT_MESSAGE(Name_, Fleet_.granted() > Granted + 600);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Name_, 0U, Fleet_.excessDecisions());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Name_, std::size_t(0), Fleet_.undecided());
  }

  void checkBounds() {
    for (const double Factor : {0.5, 1.0, 2.0})
      for (const auto &[Begin, End] : spansUpTo(Fleet_, Factor))
        for (unsigned I = 0; I < QuotaFleet::Workspaces; ++I) {
          Times Starts;
          for (const CallStart &Each : Fleet_.starts())
            if (Each.Workspace_ == I && Each.At_ >= Begin && Each.At_ < End)
              Starts.push_back(Each.At_);
          checkBound(Starts, QuotaFleet::quotaOf(I, Factor));
        }
  }

  void checkBound(const Times &Starts, const model::CallQuota &Quota) {
    // The target, over its windows of 5 s.
    CPPUNIT_ASSERT_MESSAGE(
        Name_, static_cast<double>(mostInFiveSeconds(Starts)) <=
                   (Quota.RequestsPerSecond_ * 5 + Quota.Burst_) * 1.1 + 20);
    // The bound of the design note, over all windows.
    const double Rate = Quota.RequestsPerSecond_ * (1 + QuotaFleet::ClockError);
    const double Bound = Quota.Burst_ + 2 * CreditParts + 0.31 * Rate + 1e-6;
    const double Excess = largestExcess(Starts, Rate);
    CPPUNIT_ASSERT_MESSAGE(Name_ + ": " + std::to_string(Excess) +
                               " calls beyond the rate, of " +
                               std::to_string(Bound),
                           Excess <= Bound);
  }

  std::string Name_;
  QuotaFleet Fleet_;
  bool HasFaults_;
  bool HasEras_; ///< the store has eras and is restored from copies
  double Demand_ = 0;
  std::array<double, QuotaFleet::Workspaces> Allowed_{};
};

/// Returns the value of an environment variable.
std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
  const char *Value = std::getenv(Variable);
  return Value ? std::strtoull(Value, nullptr, 10) : Default;
}

class QuotaOfTheFleet : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaOfTheFleet);
  CPPUNIT_TEST(holdsThroughFaultsInEveryWindow);
  CPPUNIT_TEST(losesNothingWhileTheStoreIsSilentFor4500Ms);
  CPPUNIT_TEST(isUsedUpWhenCallersReturnAsTold);
  CPPUNIT_TEST(isServedWhenMostMembersAreGoneForGood);
  CPPUNIT_TEST(costsNothingWithoutQuotas);
  CPPUNIT_TEST(opensLinksOnlyWhileTheyAreUsed);
  CPPUNIT_TEST_SUITE_END();

public:
  /// QUOTA_SEEDS runs other numbers of seeds from QUOTA_FIRST_SEED on.
  void holdsThroughFaultsInEveryWindow() {
    const std::uint64_t First = numberFrom("QUOTA_FIRST_SEED", 1);
    const std::uint64_t Count = numberFrom("QUOTA_SEEDS", 40);
    for (std::uint64_t Seed = First; Seed < First + Count; ++Seed)
      Run(Seed).play();
  }

  void losesNothingWhileTheStoreIsSilentFor4500Ms() {
    QuotaFleet Fleet(6, 1);
    Fleet.run(seconds(10));
    for (unsigned Silence = 0; Silence < 100; ++Silence) {
      Fleet.setStore(QuotaFleet::StoreFault::Silent);
      Fleet.after(milliseconds(4500),
                  [&] { Fleet.setStore(QuotaFleet::StoreFault::None); });
      const TimePoint End =
          Fleet.now() + milliseconds(11000 + Fleet.draw(2000));
      while (Fleet.now() < End) {
        Fleet.call(2);
        Fleet.run(milliseconds(50));
        for (unsigned Part = 0; Part < CreditParts; ++Part)
          CPPUNIT_ASSERT_EQUAL(1U, Fleet.issuers(Part));
      }
    }
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.refused() + Fleet.unknown());
  }

  void isUsedUpWhenCallersReturnAsTold() {
    QuotaFleet Fleet(8, 1);
    Fleet.returnWhenTold(3);
    Fleet.run(seconds(10));
    for (unsigned I = 0; I < 1200; ++I) {
      for (unsigned Call = 0; Call < 12; ++Call)
        Fleet.call(2);
      Fleet.run(milliseconds(50));
    }
    const double Most = QuotaFleet::quotaOf(2).RequestsPerSecond_ * 60;
    CPPUNIT_ASSERT(Fleet.granted() > 0.95 * Most);
  }

  void isServedWhenMostMembersAreGoneForGood() {
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      QuotaFleet Fleet(8, Seed);
      Fleet.run(seconds(10));
      for (unsigned Gone = 0; Gone < 6; ++Gone)
        Fleet.restart(Gone, std::chrono::hours(1));
      for (unsigned I = 0; I < 300; ++I) {
        Fleet.call(1);
        Fleet.run(milliseconds(50));
      }
      for (unsigned Part = 0; Part < CreditParts; ++Part)
        CPPUNIT_ASSERT_EQUAL(1U, Fleet.issuers(Part));
    }
  }

  void costsNothingWithoutQuotas() {
    QuotaFleet Fleet(4, 1, QuotaFleet::Quotas::Without);
    Fleet.run(seconds(30));
    CPPUNIT_ASSERT_EQUAL(0U, Fleet.claimCalls());
    for (unsigned Part = 0; Part < CreditParts; ++Part)
      CPPUNIT_ASSERT_EQUAL(0U, Fleet.issuers(Part));
  }

  /// More processes than one accepts as subscribers request credit of an
  /// issuer. The links of a process to its readers stay as they are.
  void opensLinksOnlyWhileTheyAreUsed() {
    QuotaFleet Fleet(140, 1);
    Fleet.run(seconds(20));
    const std::size_t Links = Fleet.links();
    const std::size_t Subscriptions = Fleet.subscriptions();
    for (unsigned I = 0; I < 1500; ++I) {
      Fleet.call(2);
      Fleet.run(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(1500U, Fleet.granted());
    CPPUNIT_ASSERT(Fleet.links() > Links);
    Fleet.run(seconds(70));
    CPPUNIT_ASSERT_EQUAL(Links, Fleet.links());
    CPPUNIT_ASSERT_EQUAL(Subscriptions, Fleet.subscriptions());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaOfTheFleet);

} // namespace
