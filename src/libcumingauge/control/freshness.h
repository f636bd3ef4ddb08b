#pragma once

#include "model/time.h"
#include <optional>

/// Whether this process may place new work on what it knows of the
/// configuration; see docs/design/isolation.md.
namespace cumingauge::control {

struct FreshnessLimits {
  model::Duration Limit_ = model::seconds(2); ///< age of the last exchange
  /// Added while cut off from all peers and the store, unless this process
  /// has been paused since the last exchange.
  model::Duration IsolationGrace_ = model::seconds(3);
};

/// What the control state knows about its own age.
struct FreshnessFacts {
  model::TimePoint LastStep_; ///< last time that the control state ran
  /// Moment at which this process was known not to be behind; nothing before
  /// the first exchange and after a pause.
  std::optional<model::TimePoint> LastExchange_;
  bool OthersKnown_ = false; ///< other members, seeds or entry VMs are known
  bool StoreAway_ = false;   ///< the store failed since the start or a pause
  bool HasLinks_ = false;    ///< an open link to a peer
  /// Work goes on however old the view is: each call says which server it is
  /// meant for, so that an address that changed hands does no harm.
  bool AllowsStaleView_ = false;
};

/// Until when new work may be placed; a moment in the past when it may not.
model::TimePoint dispatchDeadline(const FreshnessFacts &Facts,
                                  const FreshnessLimits &Limits);

/// True when new work may be placed at this moment.
bool mayDispatch(const FreshnessFacts &Facts, const FreshnessLimits &Limits,
                 model::TimePoint Now);

} // namespace cumingauge::control
