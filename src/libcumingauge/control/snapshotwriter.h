#pragma once

#include "control/core.h"
#include "control/snapshotpointer.h"
#include "model/time.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

struct CoreState;

/// Writes snapshots and deletes entries that one of them has replaced. Runs
/// on the process that ranks first for it; two at once do no harm, since
/// chunks are created, never overwritten, and the pointer moves by compare
/// and swap. One call at a time; a failed step starts the round again.
struct SnapshotWriter {
  enum class Activity {
    Idle,
    ReadingPointer,
    ComparingEntry, ///< the state's last entry must be the store's
    WritingChunk,
    ComparingChunk, ///< written by another: must have the same content
    MovingPointer,
    DeletingEntry,
    DeletingChunk, ///< of the snapshot before the previous one
    MovingFirstEntry
  };

  Activity Activity_ = Activity::Idle;
  StoreCallId Call_ = 0; ///< 0: the next call of the activity is due
  model::TimePoint Issued_;
  model::TimePoint NextAt_;
  std::optional<SnapshotPointer> Pointer_; ///< as last read
  std::uint64_t PointerIndex_ = 0;
  std::optional<model::TimePoint> PointerSince_;    ///< version known since
  std::shared_ptr<const model::ConfigState> State_; ///< to be written
  SnapshotPointer Next_;                            ///< pointer to be written
  std::vector<std::string> Chunks_;
  std::uint32_t Chunk_ = 0; ///< at which chunk the activity is
  std::uint64_t Entry_ = 0; ///< at which entry the deletion is
};

/// Makes the next call when it is due.
void writeSnapshots(CoreState &State);

/// Takes the answer to a call; false when the call was made by another part.
bool takeSnapshotAnswer(CoreState &State, StoreCallId Call,
                        const ports::StoreResponse &Answer);

} // namespace cumingauge::control
