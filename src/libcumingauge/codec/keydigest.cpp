#include "codec/keydigest.h"
#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/sha.h>

namespace cumingauge::codec {

std::string keyDigest(std::string_view Key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.data());
  std::string Out;
  boost::algorithm::hex_lower(Digest.begin(),
                              Digest.begin() + SHA256_DIGEST_LENGTH / 2,
                              std::back_inserter(Out));
  return Out;
}

} // namespace cumingauge::codec
