#include "adapters/keyproof.h"
#include "adapters/peercodec.h"
#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cumingauge::adapters {

std::string computeKeyProof(const std::string &Key,
                            const KeyProofInput &Input) {
  const std::string Bytes = encodeCbor(Input);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
       Digest.data(), &Length);
  std::string Out;
  boost::algorithm::hex_lower(Digest.begin(), Digest.begin() + Length,
                              std::back_inserter(Out));
  return Out;
}

bool isSameProof(const std::string &Left, const std::string &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace cumingauge::adapters
