#pragma once

#include "control/creditdecision.h"
#include "policy/balancer.h"
#include "traffic/workspacekeys.h"
#include <cstdint>
#include <optional>
#include <string>

/// Credit of calls whose workspace has a quota. Such a call is placed only when
/// credit has been granted for it, once for all its attempts.
namespace cumingauge::traffic {

/// What a call knows of its credit.
struct CallCredit {
  std::uint64_t Request_ = 0;    ///< number of the request that waits; 0: none
  model::TimePoint RequestedAt_; ///< when that request was made
  std::string GrantedTo_;        ///< workspace whose credit it has; empty: none
  /// Time that the call has waited for requests that have ended; absent: none
  /// has.
  std::optional<model::milliseconds> Waited_;
};

/// Returns whether credit is to be requested before the call is placed. The
/// credit of a workspace does not hold for another one to which the key has
/// gone since.
bool needsCredit(const CallerIdentity &Caller, const policy::CallFacts &Call,
                 const CallCredit &Credit);

/// Returns when a call is refused whose credit is not known yet.
model::TimePoint creditWaitEnd(model::TimePoint Now, model::TimePoint Deadline,
                               model::Duration MaxWait);

/// Ends the request that waits, if there is one, and adds its time to that of
/// the call. Returns the time of this request.
std::optional<model::Duration> endCreditWait(CallCredit &Credit,
                                             model::TimePoint Now);

/// Returns the refusal of a call that gets no credit; nothing for a call that
/// does. Callers are told to wait whole seconds, at least one.
std::optional<policy::Decision>
refusalBy(const control::CreditDecision &Decision);

/// Identity of a request for credit.
struct CreditRequest {
  unsigned Thread_ = 0;        ///< traffic thread of the call
  std::uint64_t Sequence_ = 0; ///< counted by that thread, from 1
};

/// Returns the number of a request, which no other one in the process has.
std::uint64_t numberOf(const CreditRequest &Request);

/// Returns the request that has this number.
CreditRequest creditRequestOf(std::uint64_t Number);

} // namespace cumingauge::traffic
