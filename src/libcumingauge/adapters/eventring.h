#pragma once

#include "model/event.h"
#include "ports/eventsink.h"
#include <boost/circular_buffer.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// Returns the wall clock time in ms since 1970-01-01 UTC.
using WallClock = std::function<std::uint64_t()>;

/// Returns the system's wall clock time in ms since 1970-01-01 UTC.
std::uint64_t systemWallMs();

/// Ring buffer of the latest events of this process, stamped by a hybrid
/// logical clock. Thread-safe.
class EventRing {
public:
  EventRing(std::string Process, std::size_t Capacity,
            WallClock Clock = systemWallMs);

  /// Stamps an event with the current time and adds it. Overwrites the oldest
  /// event when the ring is full.
  void record(model::EventKind Kind, std::string Subject, std::uint64_t Version,
              model::ResultCode Reason, std::string Detail);

  /// Advances the clock to at least \p Remote, a time that another process has
  /// sent; later local times are greater.
  void observe(model::HybridTime Remote);

  /// Returns a time greater than every time returned or observed before.
  model::HybridTime now();

  /// Returns the events stamped at or after \p WallMs (ms since 1970-01-01
  /// UTC), oldest first.
  std::vector<model::Event> since(std::uint64_t WallMs) const;

  /// Returns the number of events overwritten by later ones.
  std::uint64_t dropped() const;

  /// Returns a function that records events in this ring, which must outlive
  /// it.
  ports::EventSink sink();

private:
  /// Advances the clock and returns the new time. Requires Mutex_.
  model::HybridTime advance();

  const std::string Process_;
  const WallClock Clock_;
  mutable std::mutex Mutex_;
  boost::circular_buffer<model::Event> Events_;
  model::HybridTime Last_;
  std::uint64_t Dropped_ = 0;
};

} // namespace cumingauge::adapters
