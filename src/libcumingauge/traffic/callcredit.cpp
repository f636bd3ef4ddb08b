#include "traffic/callcredit.h"
#include <algorithm>

namespace cumingauge::traffic {

using control::CreditAnswer;
using model::ResultCode;
using policy::Verdict;

namespace {

/// Bits of a number that hold the sequence; the others hold the thread.
constexpr unsigned SequenceBits = 48;
constexpr std::uint64_t SequenceMask = (std::uint64_t(1) << SequenceBits) - 1;
constexpr model::seconds ShortestPause{1};
/// Part of its remaining time for which a call waits for credit.
constexpr int RemainingShare = 3;

} // namespace

bool needsCredit(const CallerIdentity &Caller, const policy::CallFacts &Call,
                 const CallCredit &Credit) {
  return Caller.HasQuota_ && Credit.GrantedTo_ != Caller.Workspace_ &&
         Call.Attempts_ == Call.Withdrawn_;
}

model::TimePoint creditWaitEnd(model::TimePoint Now, model::TimePoint Deadline,
                               model::Duration MaxWait) {
  const model::Duration Share = (Deadline - Now) / RemainingShare;
  return Now + std::clamp(Share, model::Duration::zero(), MaxWait);
}

std::optional<model::Duration> endCreditWait(CallCredit &Credit,
                                             model::TimePoint Now) {
  if (Credit.Request_ == 0)
    return std::nullopt;
  const model::Duration Waited = Now - Credit.RequestedAt_;
  Credit.Request_ = 0;
  Credit.Waited_ = Credit.Waited_.value_or(model::milliseconds(0)) +
                   std::chrono::duration_cast<model::milliseconds>(Waited);
  return Waited;
}

std::optional<policy::Decision>
refusalBy(const control::CreditDecision &Decision) {
  switch (Decision.Answer_) {
  case CreditAnswer::Granted:
    return std::nullopt;
  case CreditAnswer::Refused: {
    const auto Pause = std::chrono::ceil<model::seconds>(Decision.RetryAfter_);
    return policy::Decision{Verdict::Refuse, policy::NoServer,
                            ResultCode::NotRunQuota,
                            std::max(Pause, ShortestPause)};
  }
  case CreditAnswer::Unknown:
    break;
  }
  return policy::Decision{Verdict::Refuse, policy::NoServer,
                          ResultCode::NotRunCreditUnknown};
}

std::uint64_t numberOf(const CreditRequest &Request) {
  return std::uint64_t(Request.Thread_) << SequenceBits |
         (Request.Sequence_ & SequenceMask);
}

CreditRequest creditRequestOf(std::uint64_t Number) {
  return {static_cast<unsigned>(Number >> SequenceBits), Number & SequenceMask};
}

} // namespace cumingauge::traffic
