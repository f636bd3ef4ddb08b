#pragma once

#include "control/snapshotpointer.h"
#include "model/change.h"
#include "model/configstate.h"
#include "ports/store.h"
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

/// Reads the whole configuration from the store, one call at a time: the
/// snapshot pointer, the chunks of the snapshot unless State_ starts from a
/// newer version, the entries after it.
struct StateReader {
  enum class Phase { Pointer, Chunks, Entries, Done, Failed };

  Phase Phase_ = Phase::Pointer;
  SnapshotPointer Pointer_;
  std::uint64_t PointerIndex_ = 0; ///< modify index; 0 when there is none
  std::string Bytes_;              ///< chunks so far
  std::uint32_t NextChunk_ = 0;
  model::ConfigState State_;
  std::vector<model::Change> Entries_; ///< read after the snapshot
  model::ResultCode Reason_ = model::ResultCode::Ok; ///< with Failed
  unsigned Restarts_ = 0;
};

/// The call to make next; nothing when done or failed.
std::optional<ports::StoreRequest> nextRequest(const StateReader &Reader);

/// Takes the answer to the call of nextRequest. A failed call leaves the
/// reader where it is, so that the call can be repeated.
void takeAnswer(StateReader &Reader, const ports::StoreResponse &Answer);

} // namespace cumingauge::control
