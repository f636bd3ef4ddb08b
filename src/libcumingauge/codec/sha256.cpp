#include "codec/sha256.h"
#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/sha.h>

namespace cumingauge::codec {

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Digest.data());
  std::string Out;
  boost::algorithm::hex_lower(Digest.begin(), Digest.end(),
                              std::back_inserter(Out));
  return Out;
}

} // namespace cumingauge::codec
