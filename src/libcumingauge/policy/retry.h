#pragma once

#include "policy/balancerstate.h"

/// Retry rules, and the retry and hedge budgets that grow with first attempts.
namespace cumingauge::policy {

/// Returns whether the call certainly never started on the server.
bool didNotRun(AttemptEnd End);

/// Returns whether a further attempt is useful and cannot run a call twice that
/// must run at most once; does not check the budgets.
bool isRetrySafe(const CallFacts &Call, AttemptEnd End);

/// Adds the tokens for a first attempt to the retry and hedge budgets. The
/// attempt of a call that an upper layer already retried adds none and is not
/// retried, so that the retries of nested layers do not multiply.
void depositBudgets(ServiceRecord &Service, const CallFacts &Call,
                    const model::Preset &Preset);

} // namespace cumingauge::policy
