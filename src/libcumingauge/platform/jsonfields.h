#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

/// Reads fields of documents that other programs have written: a field of
/// another type counts as absent.
namespace cumingauge::platform {

using Json = nlohmann::json;

inline const Json *findField(const Json &Object, const char *Name) {
  if (!Object.is_object())
    return nullptr;
  const auto Found = Object.find(Name);
  return Found == Object.end() ? nullptr : &*Found;
}

inline std::optional<std::string> textField(const Json &Object,
                                            const char *Name) {
  const Json *Found = findField(Object, Name);
  if (!Found || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

/// Whole numbers of 0 and more.
inline std::optional<std::uint64_t> countField(const Json &Object,
                                               const char *Name) {
  const Json *Found = findField(Object, Name);
  if (!Found || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

inline std::optional<double> numberField(const Json &Object, const char *Name) {
  const Json *Found = findField(Object, Name);
  if (!Found || !Found->is_number())
    return std::nullopt;
  return Found->get<double>();
}

} // namespace cumingauge::platform
