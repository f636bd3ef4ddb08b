#pragma once

#include <cstddef>
#include <string>

namespace cumingauge::adapters {

/// Checks that bytes are one well-formed CBOR item of definite lengths, without
/// byte strings and tags, nested no deeper than \p MaxDepth. The library's
/// reader recurses on nested items and on nested text chunks; on checked bytes
/// its recursion is bounded.
/// \returns the fault, or an empty string.
std::string findCborFault(const std::string &Bytes, std::size_t MaxDepth);

} // namespace cumingauge::adapters
