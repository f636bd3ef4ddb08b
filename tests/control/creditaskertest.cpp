#include "control/creditasker.h"
#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace cumingauge;
using namespace cumingauge::control;
using model::milliseconds;
using model::seconds;
using model::TimePoint;

namespace {

constexpr TimePoint Start{seconds(1000)};
constexpr CreditDecision Granted{CreditAnswer::Granted, milliseconds(0)};

CreditDecision refused(int Ms) {
  return {CreditAnswer::Refused, milliseconds(Ms)};
}

CreditWant want(const std::string &Workspace) {
  CreditWant Out;
  Out.Workspace_ = Workspace;
  Out.WantedAt_ = Start;
  return Out;
}

class RequestForCredit : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestForCredit);
  CPPUNIT_TEST(goesToThePartsInTurn);
  CPPUNIT_TEST(goesToAllPartsUntilItIsRefused);
  CPPUNIT_TEST(isRefusedWithoutAQuestionWhileAllPartsAreClosed);
  CPPUNIT_TEST(isForOneCallAtATimeOnceThePartsTimeIsOver);
  CPPUNIT_TEST(goesToAPartAgainBeforeALongTimeIsOver);
  CPPUNIT_TEST(leavesOutPartsThatAreEmptyOrSilent);
  CPPUNIT_TEST(goesToOneOtherPartWithoutAnAnswer);
  CPPUNIT_TEST(doesNotWaitForSilentPartsBehindOthers);
  CPPUNIT_TEST(isGivenUpAtOnceWhenNoPartHasAnsweredForLong);
  CPPUNIT_TEST_SUITE_END();

public:
  void goesToThePartsInTurn() {
    std::set<unsigned> Asked;
    for (unsigned I = 0; I < CreditParts; ++I)
      Asked.insert(ask(want("a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{CreditParts}, Asked.size());
  }

  void goesToAllPartsUntilItIsRefused() {
    CreditWant Want = want("a");
    for (const int RetryAfter : {500, 300, 400, 600, 700, 800}) {
      ask(Want);
      CPPUNIT_ASSERT(
          !applyCreditAnswer(Asker_, Want, refused(RetryAfter), Start));
    }
    checkRefused(Want, 300);
  }

  /// Guards against questions whose answer is known, which overload the issuers
  /// when one workspace calls far beyond its quota.
  void isRefusedWithoutAQuestionWhileAllPartsAreClosed() {
    goesToAllPartsUntilItIsRefused();
    CreditWant Known = want("a");
    checkRefused(Known, 300);
    CreditWant Later = want("a");
    checkRefused(Later, 1, Start + milliseconds(299));
    CreditWant Other = want("b");
    ask(Other);
  }

  /// Guards against a rush of calls to a part whose time is over.
  void isForOneCallAtATimeOnceThePartsTimeIsOver() {
    goesToAllPartsUntilItIsRefused();
    const TimePoint Due = Start + milliseconds(300);
    CreditWant First = want("a");
    const unsigned Part = ask(First, Due);
    CreditWant Beside = want("a");
    checkRefused(Beside, 1, Due);
    CPPUNIT_ASSERT(!applyCreditAnswer(Asker_, First, refused(50), Due));
    checkRefused(First, 50, Due);
    const TimePoint Again = Due + milliseconds(50);
    CreditWant Second = want("a");
    CPPUNIT_ASSERT_EQUAL(Part, ask(Second, Again));
    CPPUNIT_ASSERT(applyCreditAnswer(Asker_, Second, Granted, Again));
    for (unsigned I = 0; I < 3; ++I)
      CPPUNIT_ASSERT_EQUAL(Part, ask(want("a"), Again));
  }

  /// Guards against refusals long after a surge, by the word of an issuer that
  /// expected callers who never returned.
  void goesToAPartAgainBeforeALongTimeIsOver() {
    CreditWant Want = want("a");
    for (unsigned I = 0; I < CreditParts; ++I) {
      ask(Want);
      applyCreditAnswer(Asker_, Want, refused(10000), Start);
    }
    CreditWant Early = want("a");
    checkRefused(Early, 9501, Start + MaxClosedTime - milliseconds(1));
    ask(want("a"), Start + MaxClosedTime);
  }

  void leavesOutPartsThatAreEmptyOrSilent() {
    CreditWant Empty = want("a");
    const unsigned EmptyPart = ask(Empty);
    applyCreditAnswer(Asker_, Empty, refused(1000), Start);
    CreditWant Silent = want("a");
    const unsigned SilentPart = ask(Silent);
    applyCreditFailure(Asker_, Silent, Start);
    for (unsigned I = 0; I < 20; ++I) {
      CreditWant Want = want("a");
      const unsigned Asked = ask(Want);
      CPPUNIT_ASSERT(Asked != EmptyPart && Asked != SilentPart);
      CPPUNIT_ASSERT(applyCreditAnswer(Asker_, Want, Granted, Start));
    }
    std::set<unsigned> Later;
    for (unsigned I = 0; I < CreditParts; ++I)
      Later.insert(ask(want("a"), Start + seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{CreditParts}, Later.size());
  }

  void goesToOneOtherPartWithoutAnAnswer() {
    CreditWant Want = want("a");
    const unsigned First = ask(Want);
    CPPUNIT_ASSERT(!isOverdue(Want, Start + CreditTimeout));
    CPPUNIT_ASSERT(isOverdue(Want, Start + CreditTimeout + milliseconds(1)));
    CPPUNIT_ASSERT(!applyCreditFailure(Asker_, Want, Start));
    CPPUNIT_ASSERT(ask(Want) != First);
    CPPUNIT_ASSERT(applyCreditFailure(Asker_, Want, Start)->Answer_ ==
                   CreditAnswer::Unknown);
  }

  void doesNotWaitForSilentPartsBehindOthers() {
    CreditWant First = want("a");
    const unsigned Silent = ask(First);
    const TimePoint Later = Start + milliseconds(150);
    CreditWant Refused = want("a");
    for (unsigned I = 1; I < CreditParts; ++I) {
      CPPUNIT_ASSERT(ask(Refused, Later) != Silent);
      applyCreditAnswer(Asker_, Refused, refused(2000), Later);
    }
    CPPUNIT_ASSERT(!choosePart(Asker_, Refused, PartSet().set(), 4, Later));
    CPPUNIT_ASSERT(concludeWant(Refused).Answer_ == CreditAnswer::Refused);
    CreditWant Probe = want("a");
    const TimePoint Retry = Start + milliseconds(1100);
    CPPUNIT_ASSERT_EQUAL(Silent, ask(Probe, Retry));
    CreditWant Beside = want("a");
    CPPUNIT_ASSERT(ask(Beside, Retry) != Silent);
    applyCreditAnswer(Asker_, Probe, Granted, Retry);
    CreditWant Next = want("a");
    CPPUNIT_ASSERT_EQUAL(Silent, ask(Next, Retry));
  }

  void isGivenUpAtOnceWhenNoPartHasAnsweredForLong() {
    const PartSet All = PartSet().set();
    for (unsigned I = 0; I < CreditParts; ++I) {
      CreditWant First = want("a");
      ask(First);
      applyCreditFailure(Asker_, First, Start + CreditTimeout);
    }
    CPPUNIT_ASSERT(!areSilent(Asker_, All, Start + milliseconds(900)));
    const TimePoint Later = Start + milliseconds(1100);
    CPPUNIT_ASSERT(areSilent(Asker_, All, Later));
    CPPUNIT_ASSERT(!areSilent(Asker_, PartSet(), Later));
    CreditWant Refused = want("a");
    CPPUNIT_ASSERT(!choosePart(Asker_, Refused, All, 4, Later));
    CPPUNIT_ASSERT(concludeWant(Refused).Answer_ == CreditAnswer::Unknown);
    // One call tries each part once per second; an answer ends the silence.
    const TimePoint Retry = Start + milliseconds(1400);
    CreditWant Probe = want("a");
    for (unsigned I = 0; I < CreditParts; ++I)
      ask(Probe = want("a"), Retry);
    CPPUNIT_ASSERT(areSilent(Asker_, All, Retry));
    applyCreditAnswer(Asker_, Probe, Granted, Retry);
    CPPUNIT_ASSERT(!areSilent(Asker_, All, Retry));
    // Silence that nobody has tried for a while counts no longer.
    ask(want("a"), Retry + seconds(60));
    CPPUNIT_ASSERT(!areSilent(Asker_, All, Retry + seconds(60)));
  }

private:
  void checkRefused(CreditWant &Want, int RetryAfter, TimePoint Now = Start) {
    CPPUNIT_ASSERT(!choosePart(Asker_, Want, PartSet().set(), 4, Now));
    CPPUNIT_ASSERT(concludeWant(Want).Answer_ == CreditAnswer::Refused);
    CPPUNIT_ASSERT(concludeWant(Want).RetryAfter_ == milliseconds(RetryAfter));
  }
  unsigned ask(CreditWant &&Want, TimePoint Now = Start) {
    return ask(Want, Now);
  }
  unsigned ask(CreditWant &Want, TimePoint Now = Start) {
    CPPUNIT_ASSERT(choosePart(Asker_, Want, PartSet().set(), 4, Now));
    return *Want.Part_;
  }

  CreditAsker Asker_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestForCredit);

} // namespace
