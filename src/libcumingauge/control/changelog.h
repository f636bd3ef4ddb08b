#pragma once

#include "model/change.h"
#include "model/configstate.h"
#include <deque>
#include <memory>
#include <vector>

namespace cumingauge::control {

/// The current configuration state and the most recent entries that led to it.
struct ChangeLog {
  std::shared_ptr<const model::ConfigState> State_ =
      std::make_shared<model::ConfigState>();
  /// Ascending versions without gaps.
  std::deque<std::shared_ptr<const model::Change>> RecentEntries_;
  unsigned MaxRecentEntries_ = 256;
};

/// Result of appending entries to a change log.
enum class AppendResult {
  Applied, ///< at least one entry was new and applied
  Known,   ///< all entries had been applied before
  Gap,     ///< the first entry is later than the next version
  Diverged ///< an entry differs from the log; it and later ones
           ///< were not applied
};

/// Applies the entries that follow the current state, in order, and skips those
/// applied before. The state is copied only once for all of them.
AppendResult appendEntries(ChangeLog &Log,
                           const std::vector<model::Change> &Entries);

/// Replaces the state by a complete one unless that is older.
/// \param Entries the last entries that led to the state; stored so that peers
/// can request them.
/// \returns false when the state is older, or equal in version and content.
bool installState(ChangeLog &Log, model::ConfigState State,
                  const std::vector<model::Change> &Entries);

/// Returns the entries after a version, at most \p Limit. Empty when there are
/// none or when the first one after the version is no longer in memory.
std::vector<model::Change>
entriesAfter(const ChangeLog &Log, std::uint64_t Version, std::size_t Limit);

/// Returns the entry of a version, or null when it is not in memory.
const model::Change *findEntry(const ChangeLog &Log, std::uint64_t Version);

} // namespace cumingauge::control
