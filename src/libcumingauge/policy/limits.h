#pragma once

#include "model/preset.h"
#include <algorithm>

/// How many calls one traffic thread may have in flight when many share a few
/// slots. docs/design/limits-and-queueing.md weighs the ways.
namespace cumingauge::policy {

/// Share of one thread in the calls that the fleet may have in flight at all
/// servers of a service; at least 1. A share per server would be a fraction
/// of a call, so it is taken over the whole service.
inline unsigned serviceShare(double Slots, const model::ServerLimits &Limits,
                             unsigned Deciders) {
  const double Fleet = Slots * Limits.InFlightPerSlot_;
  return static_cast<unsigned>(std::max(1.0, Fleet / std::max(Deciders, 1u)));
}

/// True when the server has as many calls as the fleet may send to it.
inline bool isFull(double Backlog, double Slots,
                   const model::ServerLimits &Limits) {
  return Backlog >= Slots * Limits.InFlightPerSlot_;
}

/// True when a further call is expected to start at once.
inline bool hasFreeSlot(double Backlog, double Slots) {
  return Backlog + 1 <= Slots;
}

/// Share of one thread in the slots that calls of patient routes may hold.
inline unsigned patientShare(double Slots, unsigned Deciders) {
  constexpr double PatientSlots = 0.5;
  return static_cast<unsigned>(
      std::max(1.0, PatientSlots * Slots / std::max(Deciders, 1u)));
}

} // namespace cumingauge::policy
