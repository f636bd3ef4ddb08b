#pragma once

#include "control/core.h"
#include "control/snapshotpointer.h"
#include "model/time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

struct CoreState;

/// Writes snapshots and deletes entries that one of them has replaced. Runs
/// on the process that ranks first for it; two at once do no harm. One call
/// at a time.
struct SnapshotWriter {
  enum class Activity {
    Idle,
    ReadingPointer,
    WritingChunk,
    ComparingChunk, ///< written by another: must have the same content
    MovingPointer,
    DeletingEntry,
    DeletingChunk,
    MovingFirstEntry
  };

  Activity Activity_ = Activity::Idle;
  StoreCallId Call_ = 0;
  model::TimePoint Issued_;
  model::TimePoint NextAt_;
  SnapshotPointer Pointer_; ///< as last read or written
  std::uint64_t PointerIndex_ = 0;
  SnapshotPointer NextPointer_;
  std::vector<std::string> Chunks_;
  std::uint32_t NextChunk_ = 0;
  std::uint64_t NextDelete_ = 0;
  std::uint64_t DeleteEnd_ = 0;                   ///< first entry that stays
  std::optional<model::TimePoint> PointerSeenAt_; ///< since Pointer_ is known
};

/// Makes the next call when it is due.
void writeSnapshots(CoreState &State);

/// Takes the answer to a call; false when the call was made by another part.
bool takeSnapshotAnswer(CoreState &State, StoreCallId Call,
                        const ports::StoreResponse &Answer);

} // namespace cumingauge::control
