#include "adapters/addresssettings.h"
#include <charconv>

namespace cumingauge::adapters {

bool readText(const std::string &Text, AddressSettings &Out) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  const char *const End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Colon + 1, End, Out.Port_);
  Out.Host_ = Text.substr(0, Colon);
  return Read.ec == std::errc() && Read.ptr == End;
}

} // namespace cumingauge::adapters
