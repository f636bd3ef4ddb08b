#include "policy/callermemory.h"
#include "policy/callerconnections.h"
#include "policy/stalleduploads.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using namespace cumingauge::policy;

namespace {

constexpr std::uint64_t Kilobyte = 1000;
constexpr std::uint64_t Megabyte = 1000000;

CallerHolding holding(CallerUse Use, std::uint64_t Bytes, unsigned Seconds) {
  return {Use, Bytes, model::seconds(Seconds)};
}

std::vector<CallerHolding> randomHoldings() {
  std::vector<CallerHolding> Out;
  for (unsigned I = *rc::gen::inRange(0U, 200U); I > 0; --I)
    Out.push_back(holding(static_cast<CallerUse>(*rc::gen::inRange(0, 6)),
                          *rc::gen::inRange<std::uint64_t>(0, 2 * Megabyte),
                          *rc::gen::inRange(0U, 30U)));
  return Out;
}

std::uint64_t sumOf(const std::vector<CallerHolding> &Holdings) {
  std::uint64_t Sum = 0;
  for (const CallerHolding &One : Holdings)
    Sum += One.Bytes_;
  return Sum;
}

class MemoryOfCallers : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryOfCallers);
  CPPUNIT_TEST(leavesRoomForTheProgramOnMachinesOfAllSizes);
  CPPUNIT_TEST(evictsNobodyUpToTheBound);
  CPPUNIT_TEST(evictsRequestsFirstThatNoServerHasSeen);
  CPPUNIT_TEST(evictsThoseThatHoldMostForLongest);
  CPPUNIT_TEST(fallsToItsMarkWhereverItCan);
  CPPUNIT_TEST(keepsSmallRequestsInAReserveAboveTheBound);
  CPPUNIT_TEST_SUITE_END();

public:
  void leavesRoomForTheProgramOnMachinesOfAllSizes() {
    constexpr std::uint64_t ProgramMb = 30;
    for (unsigned MemoryMb = 64; MemoryMb <= 4096; ++MemoryMb) {
      const CallerMemoryMarks Marks = callerMemoryMarks(MemoryMb);
      CPPUNIT_ASSERT(Marks.Full_ < (MemoryMb - ProgramMb) * Megabyte);
      CPPUNIT_ASSERT(Marks.Pipelining_ < Marks.Relieved_);
      CPPUNIT_ASSERT(Marks.Relieved_ < Marks.Bound_);
      CPPUNIT_ASSERT(Marks.Bound_ < Marks.Full_);
    }
  }

  void evictsNobodyUpToTheBound() {
    const CallerMemoryMarks Marks = callerMemoryMarks(112);
    CPPUNIT_ASSERT(
        chooseEvictions(Marks, Marks.Bound_,
                        {holding(CallerUse::Unfinished, 60 * Kilobyte, 100)})
            .empty());
  }

  void evictsRequestsFirstThatNoServerHasSeen() {
    const CallerMemoryMarks Marks{1, 1000, 2000, 3000};
    const std::vector<CallerHolding> Holdings = {
        holding(CallerUse::Idle, 1000, 100),
        holding(CallerUse::Running, 1000, 100),
        holding(CallerUse::Upload, 1000, 100),
        holding(CallerUse::Unread, 1000, 100),
        holding(CallerUse::Unfinished, 10, 1)};
    CPPUNIT_ASSERT((chooseEvictions(Marks, 2001, Holdings) ==
                    std::vector<std::size_t>{4, 3}));
    CPPUNIT_ASSERT((chooseEvictions(Marks, 4010, Holdings) ==
                    std::vector<std::size_t>{4, 3, 2}));
    CPPUNIT_ASSERT((chooseEvictions(Marks, 6000, Holdings) ==
                    std::vector<std::size_t>{4, 3, 2, 1}));
  }

  void evictsThoseThatHoldMostForLongest() {
    const CallerMemoryMarks Marks{1, 1000, 2000, 3000};
    CPPUNIT_ASSERT((chooseEvictions(Marks, 2100,
                                    {holding(CallerUse::Unfinished, 100, 5),
                                     holding(CallerUse::Unfinished, 600, 2),
                                     holding(CallerUse::Unfinished, 500, 3),
                                     holding(CallerUse::Unfinished, 600, 0)}) ==
                    std::vector<std::size_t>{2, 1}));
  }

  void fallsToItsMarkWhereverItCan() {
    const bool Held = rc::check("the sum falls to its mark", [] {
      const CallerMemoryMarks Marks =
          callerMemoryMarks(*rc::gen::inRange(64U, 200U));
      const std::vector<CallerHolding> Holdings = randomHoldings();
      const std::uint64_t Before = sumOf(Holdings);
      const auto Chosen = chooseEvictions(Marks, Before, Holdings);
      std::vector<CallerHolding> Rest = Holdings;
      bool RunningEvicted = false;
      for (const std::size_t Index : Chosen) {
        RC_ASSERT(Rest[Index].Use_ != CallerUse::Idle);
        RC_ASSERT(Rest[Index].Use_ != CallerUse::Closing);
        RunningEvicted =
            RunningEvicted || Rest[Index].Use_ == CallerUse::Running;
        Rest[Index].Bytes_ = 0;
      }
      RC_ASSERT(Before > Marks.Bound_ || Chosen.empty());
      RC_ASSERT(!RunningEvicted || Before > Marks.Full_);
      // What is left above the mark cannot be evicted.
      if (Before > Marks.Bound_ && sumOf(Rest) > Marks.Relieved_)
        for (const CallerHolding &One : Rest)
          RC_ASSERT(One.Bytes_ == 0U || (One.Use_ != CallerUse::Unfinished &&
                                         One.Use_ != CallerUse::Unread &&
                                         One.Use_ != CallerUse::Upload));
    });
    CPPUNIT_ASSERT(Held);
  }

  void keepsSmallRequestsInAReserveAboveTheBound() {
    const CallerMemoryMarks Marks = callerMemoryMarks(112);
    CPPUNIT_ASSERT(canStartPipelinedCall(Marks, Marks.Pipelining_));
    CPPUNIT_ASSERT(!canStartPipelinedCall(Marks, Marks.Bound_));
    CPPUNIT_ASSERT(canTakeRequest(Marks, Marks.Bound_ + Kilobyte));
    CPPUNIT_ASSERT(!canTakeRequest(Marks, Marks.Full_ + 1));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MemoryOfCallers);

class DescriptorsForCallers : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DescriptorsForCallers);
  CPPUNIT_TEST(leaveSomeForServersAndFiles);
  CPPUNIT_TEST(comeWithSmallReceiveBuffersWhenThereAreMany);
  CPPUNIT_TEST(areTakenFromTheLongestIdleFirst);
  CPPUNIT_TEST(areTakenFromUnfinishedRequestsOnlyAfterAWhile);
  CPPUNIT_TEST_SUITE_END();

public:
  void leaveSomeForServersAndFiles() {
    for (std::uint64_t Descriptors = 8; Descriptors < 20000; ++Descriptors) {
      const std::uint64_t Callers = callerConnectionLimit(Descriptors);
      CPPUNIT_ASSERT(Callers >= Descriptors / 2);
      CPPUNIT_ASSERT(Callers * 5 <= Descriptors * 4);
    }
    CPPUNIT_ASSERT_EQUAL(2002U, callerConnectionLimit(2870));
  }

  void comeWithSmallReceiveBuffersWhenThereAreMany() {
    CPPUNIT_ASSERT(!receiveBufferBytes(50));
    const auto Many = receiveBufferBytes(2000);
    CPPUNIT_ASSERT(Many.has_value());
    CPPUNIT_ASSERT(*Many * 2000 < 40 * Megabyte);
  }

  void areTakenFromTheLongestIdleFirst() {
    CPPUNIT_ASSERT(chooseToDisplace({holding(CallerUse::Unfinished, 1, 90),
                                     holding(CallerUse::Idle, 1, 3),
                                     holding(CallerUse::Idle, 1, 4),
                                     holding(CallerUse::Running, 1, 90)}) ==
                   std::optional<std::size_t>(2));
  }

  void areTakenFromUnfinishedRequestsOnlyAfterAWhile() {
    CPPUNIT_ASSERT(chooseToDisplace({holding(CallerUse::Unfinished, 1, 2),
                                     holding(CallerUse::Unfinished, 1, 3)}) ==
                   std::optional<std::size_t>(1));
    CPPUNIT_ASSERT(!chooseToDisplace({holding(CallerUse::Unfinished, 1, 0),
                                      holding(CallerUse::Unread, 1, 90),
                                      holding(CallerUse::Running, 1, 90)}));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DescriptorsForCallers);

class StalledUploads : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StalledUploads);
  CPPUNIT_TEST(areKeptInCalm);
  CPPUNIT_TEST(takeAShareOfTheCallsAtMost);
  CPPUNIT_TEST(areAllGivenUpWhileCallsWait);
  CPPUNIT_TEST_SUITE_END();

public:
  void areKeptInCalm() { CPPUNIT_ASSERT_EQUAL(0U, uploadsToGiveUp({1, 1, 0})); }

  void takeAShareOfTheCallsAtMost() {
    CPPUNIT_ASSERT_EQUAL(3U, uploadsToGiveUp({4, 4, 0}));
    CPPUNIT_ASSERT_EQUAL(0U, uploadsToGiveUp({40, 10, 0}));
    CPPUNIT_ASSERT_EQUAL(1U, uploadsToGiveUp({40, 11, 0}));
  }

  void areAllGivenUpWhileCallsWait() {
    CPPUNIT_ASSERT_EQUAL(2U, uploadsToGiveUp({40, 2, 1}));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(StalledUploads);

} // namespace
