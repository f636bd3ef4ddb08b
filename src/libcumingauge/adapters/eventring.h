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

/// Reads the wall clock in ms since 1970.
using WallClock = std::function<std::uint64_t()>;
std::uint64_t systemWallMs();

/// Bounded memory of this process's events with hybrid logical time. Safe for
/// use from any thread.
class EventRing {
public:
  EventRing(std::string Process, std::size_t Capacity,
            WallClock Clock = systemWallMs);

  void record(model::EventKind Kind, std::string Subject, std::uint64_t Version,
              model::ResultCode Reason, std::string Detail);

  /// Moves the clock past a time that another process has sent.
  void observe(model::HybridTime Remote);

  /// A time later than every one given out or observed so far.
  model::HybridTime now();

  /// Events since a wall time, oldest first.
  std::vector<model::Event> since(std::uint64_t WallMs) const;

  /// Events that were overwritten by later ones.
  std::uint64_t dropped() const;

  ports::EventSink sink();

private:
  model::HybridTime advance();

  const std::string Process_;
  const WallClock Clock_;
  mutable std::mutex Mutex_;
  boost::circular_buffer<model::Event> Events_;
  model::HybridTime Last_;
  std::uint64_t Dropped_ = 0;
};

} // namespace cumingauge::adapters
