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

/// Writes snapshots to the store and deletes the log entries that they replace.
/// Runs in the process that rendezvous hashing selects. Two writers at once do
/// no harm: chunks are created but never overwritten, and the pointer is
/// updated by compare-and-swap. Sends one request at a time; after a failed one
/// it starts over from the pointer.
struct SnapshotWriter {
  enum class Activity {
    Idle,
    ReadingPointer,
    ComparingEntry, ///< the last entry of the state must equal the store's
    WritingChunk,
    ComparingChunk, ///< exists already: must have the same content
    MovingPointer,
    DeletingEntry,
    DeletingChunk, ///< of the last but one snapshot
    MovingFirstEntry
  };

  Activity Activity_ = Activity::Idle;
  StoreCallId Call_ = 0; ///< request in flight; 0: none
  model::TimePoint Issued_;
  model::TimePoint NextAt_;
  std::optional<SnapshotPointer> Pointer_; ///< as read last
  std::uint64_t PointerIndex_ = 0;
  /// When the version of Pointer_ was first seen.
  std::optional<model::TimePoint> PointerSince_;
  std::shared_ptr<const model::ConfigState> State_; ///< state to be written
  SnapshotPointer Next_; ///< pointer to be written next
  std::vector<std::string> Chunks_;
  std::uint32_t Chunk_ = 0; ///< index of the current chunk
  std::uint64_t Entry_ = 0; ///< version of the entry to be deleted next
};

/// Sends the next request when it is due.
void writeSnapshots(CoreState &State);

/// Processes the response to a request. Returns false when the request is not
/// one of the snapshot writer's.
bool handleSnapshotResponse(CoreState &State, StoreCallId Call,
                            const ports::StoreResponse &Answer);

} // namespace cumingauge::control
