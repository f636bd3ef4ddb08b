#pragma once

#include "traffic/callevents.h"
#include <memory>
#include <vector>

namespace cumingauge::traffic {

/// The life of one call from its arrival to the caller's answer, as a state
/// machine without socket, clock or thread. An event that does not fit the
/// state (late, doubled, of an attempt that has ended) changes nothing.
class CallLifecycle {
public:
  explicit CallLifecycle(CallRules Rules);
  CallLifecycle(CallLifecycle &&) noexcept;
  ~CallLifecycle();

  /// Takes one event; gives what is to be done, in this order.
  std::vector<CallAction> process(const CallEvent &Event);

  bool isEnded() const;

  /// Fate of every attempt so far, oldest first.
  const std::vector<AttemptFate> &fates() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

} // namespace cumingauge::traffic
