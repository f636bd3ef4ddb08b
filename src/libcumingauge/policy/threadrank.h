#pragma once

namespace cumingauge::policy {

/// Rank of a traffic thread in a group of threads, such as those of the fleet
/// or of one availability zone.
struct ThreadRank {
  unsigned Threads_ = 1; ///< threads in the group
  /// Unique in the group while all processes have the same view.
  unsigned Rank_ = 0;
};

inline bool operator!=(const ThreadRank &Left, const ThreadRank &Right) {
  return Left.Threads_ != Right.Threads_ || Left.Rank_ != Right.Rank_;
}

} // namespace cumingauge::policy
