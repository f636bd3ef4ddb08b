#pragma once

#include "policy/balancerstate.h"

/// Further attempts within budgets that grow with first attempts.
namespace cumingauge::policy {

/// True when the call surely never started on the server.
bool didNotRun(AttemptEnd End);

/// Whether the promises allow a further attempt, budgets aside.
bool isRetryTruthful(const CallFacts &Call, AttemptEnd End);

/// Pays a first attempt into the retry and hedge budgets. The attempt of a
/// call that an upper layer already retried pays nothing and is not retried,
/// so that retries of nested layers do not multiply.
void depositFor(ServiceRecord &Service, const CallFacts &Call,
                const model::Preset &Preset);

} // namespace cumingauge::policy
