#pragma once

#include "traffic/callevents.h"
#include <memory>
#include <vector>

namespace cumingauge::traffic {

/// State machine of one call, from its arrival to the answer to the caller.
/// Uses no socket, clock or thread. Events that do not fit the current state
/// (late, duplicate or of an attempt that has ended) are ignored.
class CallLifecycle {
public:
  explicit CallLifecycle(CallRules Rules);
  CallLifecycle(CallLifecycle &&) noexcept;
  ~CallLifecycle();

  /// Processes one event and returns the actions to perform, in this order.
  std::vector<CallAction> process(const CallEvent &Event);

  bool isEnded() const;

  /// Returns the state of every attempt so far, oldest first.
  const std::vector<AttemptState> &attemptStates() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

} // namespace cumingauge::traffic
