#pragma once

#include "model/describe.h"
#include <cstdint>

namespace cumingauge::control {

using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;

/// Names the latest complete snapshot in the store. Its version only increases.
struct SnapshotPointer {
  std::uint64_t Version_ = 0;
  std::uint32_t Chunks_ = 0;          ///< number of chunks of the snapshot
  std::uint64_t BytesDigest_ = 0;     ///< of the encoded state
  std::uint64_t FirstEntry_ = 1;      ///< entries before it may be deleted
  std::uint64_t PreviousVersion_ = 0; ///< previous snapshot; 0: none
  std::uint32_t PreviousChunks_ = 0;
};
BOOST_DESCRIBE_STRUCT(SnapshotPointer, (),
                      (Version_, Chunks_, BytesDigest_, FirstEntry_,
                       PreviousVersion_, PreviousChunks_))

} // namespace cumingauge::control
