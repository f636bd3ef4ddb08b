#pragma once

#include "control/statereader.h"
#include "model/change.h"
#include "ports/store.h"
#include <cstdint>
#include <optional>
#include <string>

namespace cumingauge::control {

/// Result of looking up a change id in the change log.
struct LookupResult {
  enum class Verdict {
    Accepted,  ///< in the change log at Version_
    NotFound,  ///< not among the versions after OldestSearched_
    Unreadable ///< the store holds a value that cannot be parsed
  };
  Verdict Verdict_ = Verdict::NotFound;
  std::uint64_t Version_ = 0;
  /// Absent when the entry has been deleted.
  std::optional<model::Change> Change_;
  std::uint64_t OldestSearched_ = 0;
  std::uint64_t LatestVersion_ = 0;
};

/// State machine that looks up a change id in the store, one request at a time.
/// For a change whose writer has given up, NotFound is final only when the
/// writer's last attempt can no longer be in flight.
struct ChangeLookup {
  std::string Id_;
  StateReader Reader_;
  std::optional<LookupResult> Result_;
  /// Entry to fetch; 0: still reading the state.
  std::uint64_t FetchVersion_ = 0;
};

/// Returns the request to send next; nothing when there is a result.
std::optional<ports::StoreRequest> nextRequest(const ChangeLookup &Lookup);

/// Processes the response to the request from nextRequest. After a failed
/// request, nextRequest returns the same request again.
void handleResponse(ChangeLookup &Lookup, const ports::StoreResponse &Answer);

} // namespace cumingauge::control
