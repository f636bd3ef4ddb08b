#pragma once

#include "model/preset.h"
#include <algorithm>

/// Limits on the calls that one traffic thread may have in flight when many
/// threads share a few slots. docs/design/limits-and-queueing.md compares the
/// alternatives.
namespace cumingauge::policy {

/// Returns one thread's share of the calls that the fleet may have in flight to
/// all servers of a service; at least 1. A share per server would be a fraction
/// of a call, so the share is taken over the whole service.
inline unsigned serviceShare(double Slots, const model::ServerLimits &Limits,
                             unsigned FleetThreads) {
  const double Fleet = Slots * Limits.InFlightPerSlot_;
  return static_cast<unsigned>(
      std::max(1.0, Fleet / std::max(FleetThreads, 1u)));
}

/// Returns whether the server has as many calls as the fleet may send to it.
inline bool isFull(double Backlog, double Slots,
                   const model::ServerLimits &Limits) {
  return Backlog >= Slots * Limits.InFlightPerSlot_;
}

/// Returns whether a further call is expected to start at once.
inline bool hasFreeSlot(double Backlog, double Slots) {
  return Backlog + 1 <= Slots;
}

/// Returns one thread's share of the slots that calls of patient routes may
/// occupy.
inline unsigned patientShare(double Slots, unsigned FleetThreads) {
  // Fraction of the slots that patient calls may occupy.
  constexpr double PatientSlotFraction = 0.5;
  return static_cast<unsigned>(
      std::max(1.0, PatientSlotFraction * Slots / std::max(FleetThreads, 1u)));
}

} // namespace cumingauge::policy
