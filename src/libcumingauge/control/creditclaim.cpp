#include "control/creditclaim.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::TimePoint;
using ports::ListedClaim;

/// Age of the last read up to which a claim is replaced without reading again.
constexpr model::milliseconds MaxReadAge{2500};

/// Returns whether a claim is by an earlier incarnation at the same address,
/// which cannot run any more.
bool isOfFormerSelf(const ports::CreditClaim &Claim,
                    const model::Member &Self) {
  return Claim.Process_ == Self.Process_ && Claim.Host_ == Self.Host_ &&
         Claim.Port_ == Self.Port_ && Claim.Incarnation_ < Self.Incarnation_;
}

bool isOwnWrite(const CreditPart &Part, const ListedClaim &Read,
                const model::Member &Self) {
  return Part.Write_ && isOwnClaim(Read.Claim_, Self) &&
         Read.Claim_.Number_ == Part.Write_->Claim_.Claim_.Number_;
}

/// Returns when a claim of another process, or none, may be replaced.
TimePoint replaceableAt(const CreditPart &Part, const model::Member &Self,
                        const ClaimPolicy &Policy) {
  const ListedClaim &Known = *Part.Known_;
  const bool IsAbsent = Known.Revision_ == 0;
  if (!IsAbsent && Policy.IsFormerSelfLatest_ &&
      isOfFormerSelf(Known.Claim_, Self))
    return Part.SeenAt_;
  const bool IsGivenUp = Known.IsReadable_ && Known.Claim_.Process_.empty();
  const bool IsFree = IsAbsent ? Policy.IsAbsentNew_ : IsGivenUp;
  return Part.SeenAt_ + Policy.Delay_ +
         (IsFree ? model::Duration::zero() : model::Duration(ClaimTime));
}

} // namespace

bool mayIssue(const CreditPart &Part, TimePoint Now) {
  return Part.Tenure_ && Now < Part.Tenure_->ValidUntil_;
}

bool isOwnClaim(const ports::CreditClaim &Claim, const model::Member &Self) {
  return Claim.Process_ == Self.Process_ &&
         Claim.Incarnation_ == Self.Incarnation_ && Claim.Host_ == Self.Host_ &&
         Claim.Port_ == Self.Port_;
}

void observeClaim(CreditPart &Part, const ListedClaim &Read,
                  const model::Member &Self, TimePoint IssuedAt,
                  TimePoint Now) {
  if (Part.Known_ && Part.Known_->Revision_ == Read.Revision_) {
    Part.ReadAt_ = Now;
    return;
  }
  // The response may be older than what is known already.
  if (Part.Known_ && Read.Revision_ < Part.Known_->Revision_ &&
      IssuedAt < Part.SeenAt_)
    return;
  if (isOwnWrite(Part, Read, Self))
    return confirmClaim(Part, Read.Revision_, MinRenewPeriod, Now);
  if (!isOwnClaim(Read.Claim_, Self))
    Part.Tenure_.reset();
  Part.Write_.reset();
  Part.Known_ = Read;
  Part.SeenAt_ = Part.ReadAt_ = Part.RenewAt_ = Now;
}

void confirmClaim(CreditPart &Part, std::uint64_t Revision,
                  model::Duration RenewPeriod, TimePoint Now) {
  const ClaimWrite Write = *Part.Write_;
  Part.Write_.reset();
  if (!Part.Tenure_)
    Part.Tenure_ = CreditTenure{{}, {Now, Write.IsFirst_, {}}};
  Part.Tenure_->ValidUntil_ =
      std::max(Part.Tenure_->ValidUntil_, Write.FirstSentAt_ + IssueTime);
  Part.Known_ = Write.Claim_;
  Part.Known_->Revision_ = Revision;
  Part.SeenAt_ = Part.ReadAt_ = Now;
  Part.RenewAt_ = Write.FirstSentAt_ + RenewPeriod;
}

bool isClaimDue(const CreditPart &Part, const model::Member &Self,
                const ClaimPolicy &Policy, TimePoint Now) {
  if (!Part.Known_)
    return false;
  if (Part.Write_)
    return Now - Part.Write_->SentAt_ >= ResendClaimAfter;
  // Without a tenure the claim is an old one that a restore has brought back.
  if (Part.Tenure_ && isOwnClaim(Part.Known_->Claim_, Self))
    return Now >= Part.RenewAt_;
  return Now - Part.ReadAt_ <= MaxReadAge &&
         Now >= replaceableAt(Part, Self, Policy);
}

const ListedClaim &sendClaim(CreditPart &Part, const model::Member &Self,
                             const ClaimPolicy &Policy, std::uint64_t Number,
                             StoreCallId Call, TimePoint Now) {
  // A claim that took effect that long ago would be worth nothing.
  const bool IsTooOld =
      Part.Write_ && Now - Part.Write_->FirstSentAt_ >= IssueTime;
  if (!Part.Write_ || IsTooOld) {
    ClaimWrite Write;
    Write.Claim_ = {
        Part.Known_->Part_,
        {Self.Process_, Self.Incarnation_, Self.Host_, Self.Port_, Number},
        Part.Known_->Revision_};
    Write.FirstSentAt_ = Now;
    Write.IsFirst_ = Policy.IsAbsentNew_ && Part.Known_->Revision_ == 0;
    Part.Write_ = std::move(Write);
  }
  Part.Write_->SentAt_ = Now;
  Part.Write_->Calls_.push_back(Call);
  return Part.Write_->Claim_;
}

} // namespace cumingauge::control
