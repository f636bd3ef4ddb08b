#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cumingauge::codec {

/// Encodes bytes as standard base64 with padding.
std::string encodeBase64(std::string_view Bytes);

/// Decodes standard base64 with padding. Returns nothing when the text is
/// malformed.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace cumingauge::codec
