#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cumingauge::codec {

/// Standard base64 with padding.
std::string encodeBase64(std::string_view Bytes);

/// Nothing when the text is malformed.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace cumingauge::codec
