#pragma once

#include "model/describe.h"
#include <cstdint>
#include <string>

namespace cumingauge::adapters {

/// A host and a port. Settings write them as an object with the keys "host" and
/// "port", or as a string "host:port".
struct AddressSettings {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
};
BOOST_DESCRIBE_STRUCT(AddressSettings, (), (Host_, Port_))

/// Parses "host:port" into \p Out; the settings codec calls it for a string
/// value. Returns false when the text is malformed.
bool readText(const std::string &Text, AddressSettings &Out);

} // namespace cumingauge::adapters
