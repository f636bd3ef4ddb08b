#include "policy/fleet.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <numeric>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::policy;
using namespace cumingauge::policy::test;

namespace {

constexpr double BudgetBurst = 5; ///< most tokens that a budget holds

/// Tokens earned and spent so far, after each step of a run.
struct BudgetLedger {
  std::vector<double> Earned_{0};
  std::vector<double> Spent_{0};

  void step(double Earned, double Spent) {
    Earned_.push_back(Earned_.back() + Earned);
    Spent_.push_back(Spent_.back() + Spent);
  }

  /// Returns whether, between any two steps, at most the tokens earned and one
  /// burst were spent.
  bool isWithinBudgetOverAnyInterval() const {
    for (std::size_t From = 0; From < Spent_.size(); ++From)
      for (std::size_t To = From; To < Spent_.size(); ++To)
        if (Spent_[To] - Spent_[From] >
            Earned_[To] - Earned_[From] + BudgetBurst + 1e-9)
          return false;
    return true;
  }
};

const std::vector<AttemptEnd> AllEnds = {
    AttemptEnd::Answered, AttemptEnd::AnsweredError, AttemptEnd::Shed,
    AttemptEnd::Draining, AttemptEnd::ConnectFailed, AttemptEnd::Broken,
    AttemptEnd::TimedOut, AttemptEnd::Cancelled,     AttemptEnd::Withdrawn};

/// Processes of a fleet that probe one service.
struct ProbingFleet {
  std::vector<std::shared_ptr<BalancerState>> Processes_;
  std::vector<unsigned> Ranks_;
  double Budget_ = 1;
  unsigned Threads_ = 1;

  void applyViewTo(std::size_t Index, unsigned SeenFleetSize,
                   model::TimePoint Now) {
    model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
    Preset.Measuring_.ProbesPerSecond_ = Budget_;
    model::ControlView View = viewOf(20, 2, Preset, SeenFleetSize);
    View.ProberRank_ = Ranks_[Index / Threads_];
    apply(*Processes_[Index], View, Now);
  }

  void restart(std::size_t Index, unsigned SeenFleetSize,
               model::TimePoint Now) {
    Processes_[Index] = makeBalancer("milano-a", Threads_, Index,
                                     static_cast<unsigned>(Index % Threads_));
    applyViewTo(Index, SeenFleetSize, Now);
  }
};

class KeepingToABudget : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeepingToABudget);
  CPPUNIT_TEST(keepsTheProbesOfTheFleetWithinTheBudgetInAnySecond);
  CPPUNIT_TEST(sendsNoProbeRightAfterAStart);
  CPPUNIT_TEST(retriesWithinItsShareOfFirstAttempts);
  CPPUNIT_TEST(hedgesWithinItsShareOfFirstAttempts);
  CPPUNIT_TEST(keepsRetriesOfNestedLayersFromMultiplying);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Covers any steps of time, restarts, changes of rank, and views that take
  /// the fleet for larger than it is.
  void keepsTheProbesOfTheFleetWithinTheBudgetInAnySecond() {
    CPPUNIT_ASSERT(rc::check([] {
      ProbingFleet Fleet;
      Fleet.Threads_ = *rc::gen::inRange(1u, 4u);
      Fleet.Budget_ = *rc::gen::inRange(1, 40);
      const unsigned Count = *rc::gen::inRange(1u, 20u);
      Fleet.Ranks_.resize(Count);
      std::iota(Fleet.Ranks_.begin(), Fleet.Ranks_.end(), 0u);
      Fleet.Processes_.resize(std::size_t{Count} * Fleet.Threads_);
      const auto RandomFleetSize = [&] {
        return *rc::gen::inRange(Count, 3 * Count + 1);
      };
      for (std::size_t I = 0; I < Fleet.Processes_.size(); ++I)
        Fleet.restart(I, RandomFleetSize(), at(0));
      std::deque<model::TimePoint> Sent;
      model::TimePoint Now = at(0);
      for (unsigned Step = 0; Step < 150; ++Step) {
        Now += model::milliseconds(*rc::gen::inRange(0, 120));
        const unsigned Event = *rc::gen::inRange(0u, 40u);
        const auto Index =
            *rc::gen::inRange<std::size_t>(0, Fleet.Processes_.size());
        if (Event == 0)
          Fleet.restart(Index, RandomFleetSize(), Now);
        if (Event == 1)
          for (std::size_t I = 0; I < Fleet.Processes_.size(); ++I)
            Fleet.restart(I, RandomFleetSize(), Now);
        if (Event == 2)
          Fleet.applyViewTo(Index, RandomFleetSize(), Now);
        if (Event == 3) {
          std::rotate(Fleet.Ranks_.begin(), Fleet.Ranks_.begin() + Count / 2,
                      Fleet.Ranks_.end());
          for (std::size_t I = 0; I < Fleet.Processes_.size(); ++I)
            Fleet.applyViewTo(I, RandomFleetSize(), Now);
        }
        for (const auto &Process : Fleet.Processes_)
          for (std::size_t I = dueProbes(*Process, Now).size(); I-- > 0;)
            Sent.push_back(Now);
        while (!Sent.empty() && Now - Sent.front() >= model::seconds(1))
          Sent.pop_front();
        RC_ASSERT(static_cast<double>(Sent.size()) <= Fleet.Budget_);
      }
    }));
  }

  void sendsNoProbeRightAfterAStart() {
    ProbingFleet Fleet;
    Fleet.Budget_ = 100;
    Fleet.Ranks_ = {0};
    Fleet.Processes_.resize(1);
    Fleet.restart(0, 1, at(5000));
    CPPUNIT_ASSERT(dueProbes(*Fleet.Processes_[0], at(5900)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         dueProbes(*Fleet.Processes_[0], at(6000)).size());
  }

  void retriesWithinItsShareOfFirstAttempts() {
    CPPUNIT_ASSERT(rc::check([] {
      model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
      Preset.Retry_.Ratio_ = *rc::gen::inRange(0, 11) / 10.0;
      const auto State = makeBalancer("milano-a", 1, 1);
      apply(*State, viewOf(9, 3, Preset, 1), at(0));
      BudgetLedger Retries;
      for (CallId Id = 0; Id < 150; ++Id) {
        const auto Now = at(static_cast<long long>(Id) * 20);
        CallFacts Call = callAt(Id, Now);
        const Decision Made = admit(*State, Call, Now);
        Retries.step(Preset.Retry_.Ratio_, 0);
        if (Made.Verdict_ != Verdict::Dispatch)
          continue;
        const AttemptEnd End = *rc::gen::elementOf(AllEnds);
        Call.Attempts_ = 1;
        endAttempt(*State, Call, Made.Server_, End, model::milliseconds(1),
                   Now);
        const bool IsFree =
            End == AttemptEnd::ConnectFailed || End == AttemptEnd::Withdrawn;
        Retries.step(0, tryRetry(*State, Call, End, Now) && !IsFree);
      }
      RC_ASSERT(Retries.isWithinBudgetOverAnyInterval());
    }));
  }

  void hedgesWithinItsShareOfFirstAttempts() {
    CPPUNIT_ASSERT(rc::check([] {
      model::Preset Preset = presetWith(model::PickMethod::ExpectedWait);
      Preset.Hedge_.Ratio_ = *rc::gen::inRange(0, 11) / 10.0;
      const auto State = makeBalancer("milano-a", 1, 1);
      apply(*State, viewOf(9, 3, Preset, 1), at(0));
      BudgetLedger Hedges;
      for (CallId Id = 0; Id < 150; ++Id) {
        const auto Now = at(static_cast<long long>(Id));
        CallFacts Call = callAt(Id, Now);
        const Decision Made = admit(*State, Call, Now);
        Hedges.step(Preset.Hedge_.Ratio_, 0);
        Call.Attempts_ = 1;
        Call.Tried_ = {Made.Server_};
        const auto Second = tryHedge(*State, Call, Now);
        Hedges.step(0, Second.has_value());
        RC_ASSERT(!Second || *Second != Made.Server_);
        endAttempt(*State, Call, Made.Server_, AttemptEnd::Answered,
                   model::milliseconds(1), Now);
        if (Second)
          endAttempt(*State, Call, *Second, AttemptEnd::Cancelled,
                     model::milliseconds(1), Now);
      }
      RC_ASSERT(Hedges.isWithinBudgetOverAnyInterval());
    }));
  }

  /// A call passes 19 layers that all retry, and always fails in the last. The
  /// retries must not multiply.
  void keepsRetriesOfNestedLayersFromMultiplying() {
    constexpr unsigned Layers = 19;
    constexpr unsigned RootCalls = 400;
    std::vector<std::shared_ptr<BalancerState>> Stack;
    for (unsigned I = 0; I < Layers; ++I) {
      Stack.push_back(makeBalancer("milano-a", 1, I));
      apply(*Stack.back(),
            viewOf(9, 3, presetWith(model::PickMethod::ExpectedWait), 1),
            at(0));
    }
    unsigned ServerRuns = 0;
    for (unsigned Root = 0; Root < RootCalls; ++Root)
      callLayer(Stack, 0, /*Marked=*/false, at(Root * 10), ServerRuns);
    // Each layer adds at most a tenth of the calls that no layer above retried:
    // 1 + 19 / 10 in all. Without the mark of nested calls it would be 1.1 to
    // the 19th, which is 6.1.
    CPPUNIT_ASSERT(ServerRuns <= RootCalls * 2.9 + Layers * BudgetBurst);
    CPPUNIT_ASSERT(ServerRuns > RootCalls);
  }

private:
  static bool callLayer(std::vector<std::shared_ptr<BalancerState>> &Stack,
                        std::size_t Layer, bool IsMarked, model::TimePoint Now,
                        unsigned &ServerRuns) {
    if (Layer == Stack.size()) {
      ++ServerRuns;
      return false;
    }
    CallFacts Call = callAt(ServerRuns, Now);
    Call.Nested_ = IsMarked;
    for (;;) {
      const Decision Made = admit(*Stack[Layer], Call, Now);
      if (Made.Verdict_ != Verdict::Dispatch)
        return false;
      ++Call.Attempts_;
      const bool IsAnswered = callLayer(
          Stack, Layer + 1, IsMarked || Call.Attempts_ > 1, Now, ServerRuns);
      const AttemptEnd End =
          IsAnswered ? AttemptEnd::Answered : AttemptEnd::AnsweredError;
      endAttempt(*Stack[Layer], Call, Made.Server_, End, model::milliseconds(1),
                 Now);
      if (IsAnswered || !tryRetry(*Stack[Layer], Call, End, Now))
        return IsAnswered;
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(KeepingToABudget);

} // namespace
