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
  /// Time of the last alarm about a response of an older era.
  std::optional<model::TimePoint> OlderAt_;
};

/// Returns a position in the present era.
DirectoryRevision revisionNow(const CoreState &State, std::uint64_t Number);

/// Records a restore of the directory when a response has a newer era than all
/// before, and an alarm when it has an older one.
void observeEra(CoreState &State, const ports::DirectoryResponse &Response);

} // namespace cumingauge::control
