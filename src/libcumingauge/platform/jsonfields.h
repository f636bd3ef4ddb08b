#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

/// Functions that read fields of JSON documents written by other programs. A
/// field of another type counts as absent.
namespace cumingauge::platform {

using Json = nlohmann::json;

/// Returns a field, or null when \p Object is not an object or lacks the field.
inline const Json *findField(const Json &Object, const char *Name) {
  if (!Object.is_object())
    return nullptr;
  const auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

/// Returns the value of a string field.
inline std::optional<std::string> textField(const Json &Object,
                                            const char *Name) {
  const Json *Found = findField(Object, Name);
  if (!Found || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

/// Returns the value of a field that is an integer of 0 or more.
inline std::optional<std::uint64_t> countField(const Json &Object,
                                               const char *Name) {
  const Json *Found = findField(Object, Name);
  if (!Found || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

/// Returns the value of a field that is any number.
inline std::optional<double> numberField(const Json &Object, const char *Name) {
  const Json *Found = findField(Object, Name);
  if (!Found || !Found->is_number())
    return std::nullopt;
  return Found->get<double>();
}

} // namespace cumingauge::platform
