#pragma once

#include "control/snapshotpointer.h"
#include "model/change.h"
#include "model/configstate.h"
#include "ports/store.h"
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::control {

/// State machine that reads the whole configuration from the store, one request
/// at a time: the snapshot pointer; the chunks of the snapshot, unless State_
/// already has its version or a newer one; the entries after that.
struct StateReader {
  enum class Phase { Pointer, Chunks, Entries, Done, Failed };

  Phase Phase_ = Phase::Pointer;
  SnapshotPointer Pointer_;
  std::uint64_t PointerIndex_ = 0; ///< modify index; 0: there is no pointer
  std::string Bytes_;              ///< the chunks read so far
  std::uint32_t NextChunk_ = 0;
  model::ConfigState State_;
  std::vector<model::Change> Entries_; ///< entries read after the snapshot
  model::ResultCode Reason_ = model::ResultCode::Ok; ///< set when Failed
  unsigned Restarts_ = 0; ///< because the snapshot was replaced meanwhile
};

/// Returns the request to send next; nothing when done or failed.
std::optional<ports::StoreRequest> nextRequest(const StateReader &Reader);

/// Processes the response to the request from nextRequest. A failed request
/// leaves the reader unchanged, so that the request can be sent again.
void handleResponse(StateReader &Reader, const ports::StoreResponse &Answer);

} // namespace cumingauge::control
