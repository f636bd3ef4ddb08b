#pragma once

#include "model/describe.h"
#include <array>
#include <cstdint>

namespace cumingauge::policy {

/// Reason for a decision on a call, a server or a probe; counted for the
/// metrics.
enum class ChoiceReason {
  ByMethod,        ///< chosen by the preset's method among usable servers
  OnProbation,     ///< a returning server gets a trial call
  TriedBefore,     ///< no other server was usable
  LastResort,      ///< every server is ejected
  Hedged,          ///< second attempt while the first is still running
  QueuedForSlot,   ///< no slot is expected to be free within the thread's share
  QueuedBehind,    ///< calls of the same or a higher class were already waiting
  QueueEvicted,    ///< evicted for a call of a higher class
  RetryAllowed,    ///< took a token from the retry budget
  RetryFree,       ///< no byte had been sent, so no token was taken
  RetryNotAllowed, ///< call may have run, no attempts left, or too late
  RetryNoBudget,
  ServerEjected,
  EjectionCeiling, ///< not ejected because too many servers are already
  ServerReturned,  ///< passed probation
  ProbeSent,
  ProbeSpared,     ///< due, but every server was heard from recently
  RefusedHopeless, ///< no server is expected to answer within the objective
};
BOOST_DESCRIBE_ENUM(ChoiceReason, ByMethod, OnProbation, TriedBefore,
                    LastResort, Hedged, QueuedForSlot, QueuedBehind,
                    QueueEvicted, RetryAllowed, RetryFree, RetryNotAllowed,
                    RetryNoBudget, ServerEjected, EjectionCeiling,
                    ServerReturned, ProbeSent, ProbeSpared, RefusedHopeless)

constexpr std::size_t ChoiceReasons = 18;

/// Number of decisions since the start, by reason.
using ReasonCounts = std::array<std::uint64_t, ChoiceReasons>;

inline void count(ReasonCounts &Counts, ChoiceReason Reason) {
  ++Counts[static_cast<std::size_t>(Reason)];
}

} // namespace cumingauge::policy
