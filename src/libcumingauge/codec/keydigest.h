#pragma once

#include <string>
#include <string_view>

namespace cumingauge::codec {

/// Returns the first half, 128 bits, of the SHA-256 digest of a workspace's
/// key, in lowercase hexadecimal. Half of it keeps a configuration with many
/// keys within the limit of a peer message.
std::string keyDigest(std::string_view Key);

} // namespace cumingauge::codec
