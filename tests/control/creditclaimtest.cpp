#include "control/creditclaim.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using model::milliseconds;
using model::seconds;
using model::TimePoint;

namespace {

constexpr TimePoint Start{seconds(1000)};
constexpr ClaimPolicy NewFleet{model::Duration(0), true, true};
constexpr ClaimPolicy OldFleet{model::Duration(0), false, true};

model::Member member(const std::string &Name, std::uint64_t Incarnation = 1) {
  model::Member Out;
  Out.Process_ = Name;
  Out.Incarnation_ = Incarnation;
  Out.Host_ = Name;
  Out.Port_ = 7000;
  return Out;
}

/// One process and its view of one part.
struct Claimer {
  explicit Claimer(model::Member Self) : Self_(std::move(Self)) {}

  void read(const ports::ListedClaim &Claim, TimePoint At) {
    observeClaim(Part_, Claim, Self_, At, At);
  }
  bool isDue(TimePoint Now, const ClaimPolicy &Policy = OldFleet) const {
    return isClaimDue(Part_, Self_, Policy, Now);
  }
  ports::ListedClaim claim(TimePoint Now,
                           const ClaimPolicy &Policy = OldFleet) {
    return sendClaim(Part_, Self_, Policy, ++Number_, Number_, Now);
  }
  void confirm(std::uint64_t Revision, TimePoint Now) {
    confirmClaim(Part_, Revision, MaxRenewPeriod, Now);
  }

  model::Member Self_;
  CreditPart Part_;
  std::uint64_t Number_ = 0;
};

ports::ListedClaim at(ports::ListedClaim Claim, std::uint64_t Revision) {
  Claim.Revision_ = Revision;
  return Claim;
}

/// Returns a process that has created the claim, sent at Start.
Claimer firstIssuer() {
  Claimer Out(member("a"));
  Out.read({}, Start);
  CPPUNIT_ASSERT(Out.isDue(Start, NewFleet));
  Out.claim(Start, NewFleet);
  Out.confirm(5, Start + seconds(1));
  return Out;
}

class ClaimOfAPart : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ClaimOfAPart);
  CPPUNIT_TEST(isValidFromTheSendingOfTheRenewal);
  CPPUNIT_TEST(isSentAgainUnderTheSameCondition);
  CPPUNIT_TEST(isKnownToBeTakenWhenTheResponseWasLost);
  CPPUNIT_TEST(isReplacedOnlyAfterTheClaimTime);
  CPPUNIT_TEST(endsWhenAnotherProcessHasReplacedIt);
  CPPUNIT_TEST(isRenewedAtOnceByARestartedProcess);
  CPPUNIT_TEST(startsWithFullBucketsOnlyInANewFleet);
  CPPUNIT_TEST(isNotSetBackByALateRead);
  CPPUNIT_TEST_SUITE_END();

public:
  void isValidFromTheSendingOfTheRenewal() {
    Claimer First = firstIssuer();
    CPPUNIT_ASSERT(mayIssue(First.Part_, Start + milliseconds(7599)));
    CPPUNIT_ASSERT(!mayIssue(First.Part_, Start + milliseconds(7600)));
    CPPUNIT_ASSERT(First.isDue(Start + seconds(2)));
  }

  void isSentAgainUnderTheSameCondition() {
    Claimer First = firstIssuer();
    const ports::ListedClaim Sent = First.claim(Start + seconds(2));
    CPPUNIT_ASSERT(!First.isDue(Start + milliseconds(2499)));
    CPPUNIT_ASSERT(First.isDue(Start + milliseconds(2500)));
    CPPUNIT_ASSERT(Sent == First.claim(Start + milliseconds(2500)));
    First.confirm(6, Start + seconds(7));
    CPPUNIT_ASSERT(mayIssue(First.Part_, Start + milliseconds(9599)));
    CPPUNIT_ASSERT(!mayIssue(First.Part_, Start + milliseconds(9600)));
  }

  void isKnownToBeTakenWhenTheResponseWasLost() {
    Claimer First = firstIssuer();
    const ports::ListedClaim Sent = First.claim(Start + seconds(2));
    First.read(at(Sent, 6), Start + seconds(7));
    CPPUNIT_ASSERT(mayIssue(First.Part_, Start + milliseconds(9599)));
    CPPUNIT_ASSERT(!mayIssue(First.Part_, Start + milliseconds(9600)));
  }

  void isReplacedOnlyAfterTheClaimTime() {
    Claimer Next(member("b"));
    const ports::ListedClaim Claim = firstIssuer().claim(Start);
    Next.read(at(Claim, 5), Start);
    Next.read(at(Claim, 5), Start + milliseconds(7900));
    CPPUNIT_ASSERT(!Next.isDue(Start + milliseconds(7999)));
    CPPUNIT_ASSERT(Next.isDue(Start + milliseconds(8000)));
    CPPUNIT_ASSERT(!Next.isDue(Start + milliseconds(8000),
                               {milliseconds(300), false, true}));
    CPPUNIT_ASSERT_MESSAGE("the last read is too old",
                           !Next.isDue(Start + seconds(30)));
    Next.read(at(Claim, 6), Start + milliseconds(7950));
    CPPUNIT_ASSERT(!Next.isDue(Start + milliseconds(8000)));
  }

  void endsWhenAnotherProcessHasReplacedIt() {
    Claimer First = firstIssuer();
    First.claim(Start + seconds(2));
    Claimer Next(member("b"));
    Next.read(First.claim(Start + seconds(2)), Start);
    First.read(at(Next.claim(Start + seconds(3)), 7), Start + seconds(4));
    CPPUNIT_ASSERT(!mayIssue(First.Part_, Start + seconds(4)));
    CPPUNIT_ASSERT(!First.isDue(Start + seconds(5)));
  }

  void isRenewedAtOnceByARestartedProcess() {
    const ports::ListedClaim Claim = at(firstIssuer().claim(Start), 5);
    Claimer Restarted(member("a", 2));
    Restarted.read(Claim, Start + seconds(1));
    CPPUNIT_ASSERT(Restarted.isDue(Start + seconds(1)));
    CPPUNIT_ASSERT_MESSAGE(
        "the claim may be from a copy",
        !Restarted.isDue(Start + seconds(1),
                         {model::Duration(0), false, false}));
    Claimer Moved(member("a", 2));
    Moved.Self_.Port_ = 7001;
    Moved.read(Claim, Start + seconds(1));
    CPPUNIT_ASSERT(!Moved.isDue(Start + seconds(1)));
    Claimer Older(member("a", 0));
    Older.read(Claim, Start + seconds(1));
    CPPUNIT_ASSERT(!Older.isDue(Start + seconds(1)));
  }

  void startsWithFullBucketsOnlyInANewFleet() {
    CPPUNIT_ASSERT(firstIssuer().Part_.Tenure_->Issuer_.IsFirst_);
    Claimer Late(member("b"));
    Late.read({}, Start);
    CPPUNIT_ASSERT(!Late.isDue(Start + seconds(1)));
    Late.read({}, Start + seconds(8));
    CPPUNIT_ASSERT(Late.isDue(Start + seconds(8)));
    Late.claim(Start + seconds(8));
    Late.confirm(5, Start + seconds(8));
    CPPUNIT_ASSERT(!Late.Part_.Tenure_->Issuer_.IsFirst_);
  }

  void isNotSetBackByALateRead() {
    Claimer First = firstIssuer();
    observeClaim(First.Part_, {}, First.Self_, Start, Start + seconds(2));
    CPPUNIT_ASSERT(mayIssue(First.Part_, Start + seconds(2)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, First.Part_.Known_->Revision_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimOfAPart);

} // namespace
