#pragma once

#include "traffic/messagehead.h"
#include <cstdint>
#include <string>
#include <string_view>

/// Text of HTTP heads and chunks.
namespace cumingauge::adapters {

/// A field without a name is left out.
void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value);

/// The field that tells the end of the body, if there is one.
void appendFraming(std::string &Out, traffic::Framing Framing,
                   std::uint64_t Length);

/// What goes before the bytes of a chunk.
void appendChunkHead(std::string &Out, std::size_t Bytes);

/// What goes behind the bytes of a chunk.
void appendChunkTail(std::string &Out, bool AfterBytes, bool Last);

/// A whole chunk, and the last one if asked for. No bytes give no chunk.
void appendChunk(std::string &Out, std::string_view Bytes, bool Last);

} // namespace cumingauge::adapters
