#pragma once

#include "model/change.h"
#include "model/configstate.h"
#include <deque>
#include <memory>
#include <vector>

namespace cumingauge::control {

/// The state in force and the latest entries that led to it.
struct ChangeLog {
  std::shared_ptr<const model::ConfigState> State_ =
      std::make_shared<model::ConfigState>();
  std::deque<std::shared_ptr<const model::Change>> Kept_; ///< ascending, no gap
  unsigned KeptLimit_ = 256;
};

/// What came of offering entries to a log.
enum class Offer {
  Applied,  ///< at least one entry was new and applied
  Known,    ///< nothing new
  Gap,      ///< the first entry is further on than the next version
  Disagrees ///< an entry contradicts what was applied; nothing after it was
};

/// Applies those of the entries that come next, in order. The state is copied
/// once for all of them.
Offer offerEntries(ChangeLog &Log, const std::vector<model::Change> &Entries);

/// Takes a whole state unless it is older than the one in force.
/// \param Entries the last entries that led to it, kept for peers.
/// \returns false when it is older, or equal in version and content.
bool adoptState(ChangeLog &Log, model::ConfigState State,
                const std::vector<model::Change> &Entries);

/// Kept entries after a version, up to a count; empty when there are none or
/// when the first of them is no longer kept.
std::vector<model::Change>
entriesAfter(const ChangeLog &Log, std::uint64_t Version, std::size_t Limit);

/// The kept entry of a version, or null.
const model::Change *findEntry(const ChangeLog &Log, std::uint64_t Version);

} // namespace cumingauge::control
