#pragma once

#include "emulator/loadplan.h"
#include "model/time.h"
#include <atomic>
#include <deque>
#include <optional>
#include <vector>

namespace cumingauge::load {

/// Keeps track of which entry processes accept new connections, as the
/// platform's load balancer does. Shared by the load threads; pollReadiness may
/// run beside the other functions.
class EntryTable {
public:
  explicit EntryTable(const std::vector<emulator::EntryAddress> &Entries);

  std::size_t size() const { return Entries_.size(); }
  const emulator::EntryAddress &address(std::size_t Entry) const;

  /// Returns the next usable entry after \p Cursor and moves \p Cursor to it;
  /// nothing when none is usable.
  std::optional<std::uint32_t> nextUsable(std::uint32_t &Cursor,
                                          model::TimePoint Now) const;

  /// Excludes an entry for a short time after it refused a connection.
  void recordRefusedConnection(std::uint32_t Entry, model::TimePoint Now);

  /// Requests /readyz once from every admin port and marks an entry as ready
  /// when the status is 200. Blocks.
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
