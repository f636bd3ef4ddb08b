#include "codec/base64.h"
#include <openssl/evp.h>

namespace cumingauge::codec {

std::string encodeBase64(std::string_view Bytes) {
  std::string Out(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Out.resize(static_cast<std::size_t>(Length));
  return Out;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::string Out(Text.size() / 4 * 3, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  if (Text.find('=') < Text.size() - Padding)
    return std::nullopt;
  Out.resize(static_cast<std::size_t>(Length) - Padding);
  return Out;
}

} // namespace cumingauge::codec
