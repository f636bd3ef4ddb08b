#pragma once

#include "control/directoryrevision.h"
#include "model/time.h"
#include "ports/directory.h"
#include <cstdint>
#include <optional>

namespace cumingauge::control {

struct CoreState;

/// What this process has seen of the directory's eras.
struct DirectoryEra {
  std::uint64_t Number_ = 0;   ///< highest one seen; 0: unknown
  std::uint64_t Restores_ = 0; ///< rises of Number_ since the process start
  std::optional<model::TimePoint> RestoredAt_; ///< when Number_ last rose
  /// Time of the last alarm about a response of an older era.
  std::optional<model::TimePoint> OlderAt_;
};

/// Returns a position in the present era.
DirectoryRevision revisionNow(const CoreState &State, std::uint64_t Number);

/// Handles the era of a response. When it is newer than all before, the
/// directory was restored: that is recorded, and every topic is read as a whole
/// again, since revisions of the older era have another meaning now. An older
/// era is an alarm.
/// \returns false when the response is of an older era than the present one.
bool observeEra(CoreState &State, const ports::DirectoryResponse &Response);

/// Handles the position of a peer's update as observeEra does that of a
/// response, but without an alarm: a peer may notice a restore later.
bool observePeerEra(CoreState &State, DirectoryRevision Position);

} // namespace cumingauge::control
