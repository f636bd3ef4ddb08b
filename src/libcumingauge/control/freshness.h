#pragma once

#include "model/time.h"
#include <optional>

/// Decides whether this process may dispatch new work with the configuration
/// that it has; see docs/design/isolation.md.
namespace cumingauge::control {

/// Limits on the age of the configuration for dispatching new work.
struct FreshnessLimits {
  /// Maximum age of the last exchange.
  model::Duration Limit_ = model::seconds(2);
  /// Added to the limit while this process has no link to a peer and the store
  /// is unreachable, unless it has been paused since the last exchange.
  model::Duration IsolationGrace_ = model::seconds(3);
};

/// Facts that determine whether the configuration is current enough.
struct FreshnessFacts {
  model::TimePoint LastStep_; ///< last time that the control state made a step
  /// Time at which this process was known to be up to date; empty before the
  /// first exchange and after a pause.
  std::optional<model::TimePoint> LastExchange_;
  /// Whether other members, seeds or entry VMs are known.
  bool OthersKnown_ = false;
  /// Whether the store has been unreachable since the start or a pause.
  bool StoreAway_ = false;
  bool HasLinks_ = false; ///< whether a link to a peer is open
  /// Whether dispatch goes on however old the view is. Each call names the
  /// backend server that it is meant for, so a call to an address that was
  /// reassigned to another server does no harm.
  bool AllowsStaleView_ = false;
};

/// Returns the time until which new work may be dispatched; a time in the past
/// when it may not.
model::TimePoint dispatchDeadline(const FreshnessFacts &Facts,
                                  const FreshnessLimits &Limits);

/// Returns true when new work may be dispatched at \p Now.
bool mayDispatch(const FreshnessFacts &Facts, const FreshnessLimits &Limits,
                 model::TimePoint Now);

} // namespace cumingauge::control
