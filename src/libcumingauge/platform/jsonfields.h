#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

/// Functions that read fields of JSON documents written by other programs. A
/// field of another type counts as absent.
namespace cumingauge::platform {

using Json = nlohmann::json;

/// Deepest nesting of a document that is parsed. Each level takes memory.
constexpr unsigned MaxNesting = 32;

/// Returns whether brackets are nested more deeply than MaxNesting.
inline bool isNestedTooDeeply(std::string_view Document) {
  unsigned Depth = 0;
  bool IsInString = false;
  for (std::size_t I = 0; I < Document.size(); ++I) {
    const char C = Document[I];
    if (IsInString && C == '\\')
      ++I; // the next character does not end the string
    else if (C == '"')
      IsInString = !IsInString;
    else if (!IsInString && (C == '[' || C == '{') && ++Depth > MaxNesting)
      return true;
    else if (!IsInString && (C == ']' || C == '}') && Depth > 0)
      --Depth;
  }
  return false;
}

/// Parses a document written by another program; the result is discarded
/// (Json::is_discarded) when it is malformed or nested too deeply.
inline Json parseDocument(std::string_view Document) {
  if (isNestedTooDeeply(Document))
    return Json(Json::value_t::discarded);
  return Json::parse(Document, /*cb=*/nullptr, /*allow_exceptions=*/false);
}

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
