#pragma once

#include <string>
#include <string_view>

namespace cumingauge::codec {

/// Returns the SHA-256 digest of bytes in lowercase hexadecimal.
std::string sha256Hex(std::string_view Bytes);

} // namespace cumingauge::codec
