#pragma once

#include "traffic/messagehead.h"
#include <cstdint>
#include <string>
#include <string_view>

/// Functions that write HTTP heads and chunks.
namespace cumingauge::adapters {

/// Appends a header field; does nothing when the name is empty.
void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value);

/// Appends the field that determines the end of the body: Content-Length,
/// Transfer-Encoding or none.
/// \param Length body bytes, with Framing::Length.
void appendFraming(std::string &Out, traffic::Framing Framing,
                   std::uint64_t Length);

/// Appends the line that precedes the bytes of a chunk.
void appendChunkHead(std::string &Out, std::size_t Bytes);

/// Appends what follows the bytes of a chunk.
/// \param AfterBytes whether a chunk with bytes precedes.
/// \param Last whether to append the last chunk, which ends the body.
void appendChunkTail(std::string &Out, bool AfterBytes, bool Last);

/// Appends a whole chunk, or none if there are no bytes, and with \p Last the
/// last chunk, which ends the body.
void appendChunk(std::string &Out, std::string_view Bytes, bool Last);

} // namespace cumingauge::adapters
