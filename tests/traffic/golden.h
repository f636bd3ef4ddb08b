#pragma once

#include "codec/describedjson.h"
#include <boost/core/demangle.hpp>
#include <string>
#include <typeinfo>

namespace cumingauge::test {

/// Returns the name of a type without its namespaces.
template <class T> std::string typeName() {
  const std::string Full = boost::core::demangle(typeid(T).name());
  return Full.substr(Full.rfind(':') + 1);
}

/// Returns a described value as a line such as "OpenAttempt attempt=1
/// server=4".
template <class T> std::string describe(const T &Value) {
  std::string Out = typeName<T>();
  const codec::Json Members = codec::toJson(Value);
  for (const auto &Member : Members.items())
    Out += " " + Member.key() + "=" +
           (Member.value().is_string() ? Member.value().get<std::string>()
                                       : Member.value().dump());
  return Out;
}

/// Asserts that a session equals the golden file of this name. If the
/// environment variable CUMINGAUGE_WRITE_GOLDEN is set, writes the file
/// instead.
void compareWithGolden(const std::string &Name, const std::string &Session);

} // namespace cumingauge::test
