#pragma once

#include <cstddef>
#include <string>

namespace cumingauge::adapters {

/// Checks that \p Bytes are exactly one well-formed CBOR item. Indefinite
/// lengths, byte strings and tags are refused, and so is nesting deeper than
/// \p MaxDepth. nlohmann::json's CBOR parser recurses on nested items and on
/// nested text chunks; for bytes that pass this check its recursion is bounded.
/// \returns a description of the first fault with its byte offset, or an empty
/// string when there is none.
std::string findCborFault(const std::string &Bytes, std::size_t MaxDepth);

} // namespace cumingauge::adapters
