#pragma once

#include "model/describe.h"
#include <cstdint>
#include <string>

namespace cumingauge::adapters {

/// An address as settings write it: an object, or a text "host:port".
struct AddressSettings {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
};
BOOST_DESCRIBE_STRUCT(AddressSettings, (), (Host_, Port_))

/// Reads "host:port"; false when it is malformed.
bool readText(const std::string &Text, AddressSettings &Out);

} // namespace cumingauge::adapters
