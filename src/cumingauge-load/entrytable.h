#pragma once

#include "emulator/loadplan.h"
#include "model/time.h"
#include <atomic>
#include <deque>
#include <optional>
#include <vector>

namespace cumingauge::load {

/// Which entry processes take new connections, as the platform's balancer
/// knows it. Shared by the threads of the load.
class EntryTable {
public:
  explicit EntryTable(const std::vector<emulator::EntryAddress> &Entries);

  std::size_t size() const { return Entries_.size(); }
  const emulator::EntryAddress &address(std::size_t Entry) const;

  /// The next usable entry after \p Cursor, which moves along; nothing when
  /// none is usable.
  std::optional<std::uint32_t> nextUsable(std::uint32_t &Cursor,
                                          model::TimePoint Now) const;

  /// Leaves an entry out for a while after it refused a connection.
  void recordRefusedConnection(std::uint32_t Entry, model::TimePoint Now);

  /// Asks every admin port once for /readyz. Blocks.
  void pollReadiness();

private:
  struct State {
    std::atomic<bool> Ready_{true};
    std::atomic<std::int64_t> ExcludedUntil_{0}; ///< ns of the monotonic clock
  };

  const std::vector<emulator::EntryAddress> Entries_;
  std::deque<State> States_;
};

} // namespace cumingauge::load
