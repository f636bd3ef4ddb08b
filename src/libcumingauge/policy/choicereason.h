#pragma once

#include "model/describe.h"
#include <array>
#include <cstdint>

namespace cumingauge::policy {

/// Why a call went the way it did; counted for the metrics.
enum class ChoiceReason {
  ByMethod,        ///< chosen by the preset's method among usable servers
  OnProbation,     ///< a returning server's turn to prove itself
  TriedBefore,     ///< no other server was usable
  LastResort,      ///< every server is ejected
  Hedged,          ///< second attempt beside a running one
  QueuedForSlot,   ///< no slot expected to be free within the share
  QueuedBehind,    ///< calls of the same class were waiting
  QueueEvicted,    ///< a higher class needed the place
  RetryAllowed,    ///< spent the retry budget
  RetryFree,       ///< no byte had left, so no budget was spent
  RetryNotAllowed, ///< may have run, attempts used up, or too late
  RetryNoBudget,
  ServerEjected,
  EjectionCeiling, ///< would have been ejected, but too many were
  ServerReturned,  ///< passed probation
  ProbeSent,
  ProbeSpared,     ///< due, but all figures were fresh
  RefusedHopeless, ///< no server could answer within the objective
};
BOOST_DESCRIBE_ENUM(ChoiceReason, ByMethod, OnProbation, TriedBefore,
                    LastResort, Hedged, QueuedForSlot, QueuedBehind,
                    QueueEvicted, RetryAllowed, RetryFree, RetryNotAllowed,
                    RetryNoBudget, ServerEjected, EjectionCeiling,
                    ServerReturned, ProbeSent, ProbeSpared, RefusedHopeless)

constexpr std::size_t ChoiceReasons = 18;

/// Counts since the start, by reason.
using ReasonCounts = std::array<std::uint64_t, ChoiceReasons>;

inline void count(ReasonCounts &Counts, ChoiceReason Reason) {
  ++Counts[static_cast<std::size_t>(Reason)];
}

} // namespace cumingauge::policy
