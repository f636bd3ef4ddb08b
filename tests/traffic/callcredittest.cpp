#include "traffic/callcredit.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace cumingauge;
using control::CreditAnswer;
using model::milliseconds;
using model::ResultCode;
using traffic::numberOf;

namespace {

class CreditOfACall : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CreditOfACall);
  CPPUNIT_TEST(isNeededBeforeTheFirstAttemptOfAWorkspaceWithAQuota);
  CPPUNIT_TEST(isRequestedByANumberOfItsOwn);
  CPPUNIT_TEST(tellsRefusedCallersToWaitNoShorterThanDecided);
  CPPUNIT_TEST(isWaitedForUntilTheRequestEnds);
  CPPUNIT_TEST(isWaitedForInAPartOfTheTimeThatIsLeft);
  CPPUNIT_TEST(isNotClaimedToBeUsedUpWhenNobodyKnows);
  CPPUNIT_TEST_SUITE_END();

public:
  void isNeededBeforeTheFirstAttemptOfAWorkspaceWithAQuota() {
    traffic::CallerIdentity Caller;
    policy::CallFacts Call;
    traffic::CallCredit Credit;
    CPPUNIT_ASSERT(!needsCredit(Caller, Call, Credit));
    Caller.HasQuota_ = true;
    Caller.Workspace_ = "north";
    CPPUNIT_ASSERT(needsCredit(Caller, Call, Credit));
    Credit.GrantedTo_ = "north";
    CPPUNIT_ASSERT(!needsCredit(Caller, Call, Credit));
    Credit.GrantedTo_ = "south";
    CPPUNIT_ASSERT(needsCredit(Caller, Call, Credit));
    Call.Attempts_ = 1;
    CPPUNIT_ASSERT(!needsCredit(Caller, Call, Credit));
  }

  void isRequestedByANumberOfItsOwn() {
    CPPUNIT_ASSERT(rc::check("numbers differ as their requests do", [] {
      const auto AnyRequest = [] {
        return traffic::CreditRequest{
            *rc::gen::inRange(0U, 65536U),
            *rc::gen::inRange<std::uint64_t>(0, std::uint64_t(1) << 48)};
      };
      const traffic::CreditRequest One = AnyRequest();
      const traffic::CreditRequest Other = AnyRequest();
      const auto Read = traffic::creditRequestOf(numberOf(One));
      RC_ASSERT(Read.Thread_ == One.Thread_ && Read.Sequence_ == One.Sequence_);
      RC_ASSERT(
          (numberOf(One) == numberOf(Other)) ==
          (One.Thread_ == Other.Thread_ && One.Sequence_ == Other.Sequence_));
    }));
  }

  /// Guards against waits that are in no log as their calls end meanwhile.
  void isWaitedForUntilTheRequestEnds() {
    const model::TimePoint Start{model::seconds(100)};
    traffic::CallCredit Credit;
    CPPUNIT_ASSERT(!endCreditWait(Credit, Start));
    CPPUNIT_ASSERT(!Credit.Waited_);
    for (const int Sum : {40, 80}) {
      Credit.Request_ = 7;
      Credit.RequestedAt_ = Start;
      const model::TimePoint End = Start + milliseconds(40);
      CPPUNIT_ASSERT(endCreditWait(Credit, End) == milliseconds(40));
      CPPUNIT_ASSERT(!endCreditWait(Credit, End + milliseconds(5)));
      CPPUNIT_ASSERT(Credit.Waited_ == milliseconds(Sum));
    }
  }

  /// Guards against a wait that leaves no time for an answer.
  void isWaitedForInAPartOfTheTimeThatIsLeft() {
    const model::TimePoint Start{model::seconds(100)};
    const auto Wait = [&](int Left) {
      return traffic::creditWaitEnd(Start, Start + milliseconds(Left),
                                    milliseconds(400)) -
             Start;
    };
    CPPUNIT_ASSERT(Wait(-1) == milliseconds(0));
    CPPUNIT_ASSERT(Wait(300) == milliseconds(100));
    CPPUNIT_ASSERT(Wait(1200) == milliseconds(400));
    CPPUNIT_ASSERT(Wait(60000) == milliseconds(400));
  }

  void tellsRefusedCallersToWaitNoShorterThanDecided() {
    CPPUNIT_ASSERT(!traffic::refusalBy({CreditAnswer::Granted, {}}));
    CPPUNIT_ASSERT(rc::check("whole seconds, rounded up", [] {
      const milliseconds Told(*rc::gen::inRange(0, 100000));
      const auto Refusal = traffic::refusalBy({CreditAnswer::Refused, Told});
      RC_ASSERT(Refusal.has_value());
      RC_ASSERT(Refusal->Verdict_ == policy::Verdict::Refuse);
      RC_ASSERT(Refusal->Reason_ == ResultCode::NotRunQuota);
      RC_ASSERT(Refusal->RetryAfter_ >= std::max(Told, milliseconds(1000)));
      RC_ASSERT(Refusal->RetryAfter_ % model::seconds(1) ==
                model::Duration::zero());
      RC_ASSERT(Told < milliseconds(1000) ||
                Refusal->RetryAfter_ < Told + milliseconds(1000));
    }));
  }

  void isNotClaimedToBeUsedUpWhenNobodyKnows() {
    const auto Refusal = traffic::refusalBy({});
    CPPUNIT_ASSERT(Refusal->Reason_ == ResultCode::NotRunCreditUnknown);
    CPPUNIT_ASSERT(Refusal->RetryAfter_ == model::Duration::zero());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CreditOfACall);

} // namespace
