#pragma once

#include "control/statereader.h"
#include "model/change.h"
#include "ports/store.h"
#include <cstdint>
#include <optional>
#include <string>

namespace cumingauge::control {

/// What the log says about a change id.
struct LookupResult {
  enum class Verdict {
    Accepted, ///< in the log at Version_
    NotFound, ///< not among the versions after OldestSearched_
    Unreadable
  };
  Verdict Verdict_ = Verdict::NotFound;
  std::uint64_t Version_ = 0;
  std::optional<model::Change> Change_; ///< absent once compacted
  std::uint64_t OldestSearched_ = 0;
  std::uint64_t LatestVersion_ = 0;
};

/// Looks a change id up in the store, one call at a time. NotFound is final
/// for a writer that has given up only when its last try cannot be under way
/// any more.
struct ChangeLookup {
  std::string Id_;
  StateReader Reader_;
  std::optional<LookupResult> Result_;
  std::uint64_t FetchVersion_ = 0; ///< entry to fetch; 0 while reading
};

std::optional<ports::StoreRequest> nextRequest(const ChangeLookup &Lookup);

/// Takes the answer to the call of nextRequest; a failed call may be repeated.
void takeAnswer(ChangeLookup &Lookup, const ports::StoreResponse &Answer);

} // namespace cumingauge::control
