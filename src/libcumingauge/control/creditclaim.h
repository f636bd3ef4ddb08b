#pragma once

#include "control/core.h"
#include "control/creditissuer.h"
#include "model/member.h"
#include "ports/creditclaim.h"
#include <optional>
#include <vector>

/// Claims of the parts of the quotas: which process may issue credit, and until
/// when. Without network and clock.
namespace cumingauge::control {

/// Time for which a process has to see a claim unchanged before it replaces it.
constexpr model::milliseconds ClaimTime{8000};
/// Time after the sending of its last renewal for which a process issues. The
/// rest of ClaimTime is for clocks that run at different rates.
constexpr model::milliseconds IssueTime{7600};
constexpr model::milliseconds MaxRenewPeriod{2000};
constexpr model::milliseconds MinRenewPeriod{1700};
constexpr model::milliseconds ResendClaimAfter{500};

/// A claim that was sent and not confirmed.
struct ClaimWrite {
  ports::ListedClaim Claim_; ///< Revision_: condition of the write
  std::vector<StoreCallId> Calls_;
  model::TimePoint FirstSentAt_;
  model::TimePoint SentAt_;
  bool IsFirst_ = false; ///< the part has had no issuer before
};

/// This process is the issuer of a part.
struct CreditTenure {
  model::TimePoint ValidUntil_;
  CreditIssuer Issuer_;
};

/// What this process knows of one part.
struct CreditPart {
  /// The claim that was read last; its revision is 0 when there is none.
  /// Absent: not read yet.
  std::optional<ports::ListedClaim> Known_;
  model::TimePoint SeenAt_; ///< when the first read that showed Known_ arrived
  model::TimePoint ReadAt_; ///< when the last read that showed Known_ arrived
  model::TimePoint RenewAt_;
  std::optional<ClaimWrite> Write_;
  std::optional<CreditTenure> Tenure_;
};

/// How eager a process is to claim a part.
struct ClaimPolicy {
  /// Added to the time after which a claim is replaced, so that candidates do
  /// not all write at once.
  model::Duration Delay_{0};
  /// Whether a part without a claim has never had an issuer.
  bool IsAbsentNew_ = false;
  /// Whether a claim by an earlier incarnation of this process is the latest
  /// one. After a restore of the directory another process may have replaced
  /// it.
  bool IsFormerSelfLatest_ = true;
};

/// Returns whether this process may issue credit of the part.
bool mayIssue(const CreditPart &Part, model::TimePoint Now);

/// Returns whether a claim is by this incarnation of this process.
bool isOwnClaim(const ports::CreditClaim &Claim, const model::Member &Self);

/// Records a claim that a read or a conflict has shown.
/// \param IssuedAt when the call was issued.
void observeClaim(CreditPart &Part, const ports::ListedClaim &Read,
                  const model::Member &Self, model::TimePoint IssuedAt,
                  model::TimePoint Now);

/// Records that the write under way has taken effect.
/// \param RenewPeriod time from its sending to the next renewal.
void confirmClaim(CreditPart &Part, std::uint64_t Revision,
                  model::Duration RenewPeriod, model::TimePoint Now);

/// Returns whether a claim is to be sent now: a renewal, a replacement, or the
/// one under way once more.
bool isClaimDue(const CreditPart &Part, const model::Member &Self,
                const ClaimPolicy &Policy, model::TimePoint Now);

/// Returns the write to send, and records that it is sent by call \p Call.
/// \param Number of the write if it is a new one.
const ports::ListedClaim &sendClaim(CreditPart &Part, const model::Member &Self,
                                    const ClaimPolicy &Policy,
                                    std::uint64_t Number, StoreCallId Call,
                                    model::TimePoint Now);

} // namespace cumingauge::control
