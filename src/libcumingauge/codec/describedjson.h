#pragma once

#include "model/describe.h"
#include "model/problem.h"
#include "model/shared.h"
#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <cctype>
#include <chrono>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

/// Maps described value types to JSON and back. A member `Deadline_` of type
/// milliseconds has the key "deadlineMs"; an enumerator `Urgent` is written
/// "urgent"; CUMINGAUGE_OUTER_NAMES gives either another name. A variant is an
/// object with its alternative's "kind". Absent keys keep the member's default;
/// unknown keys, wrong types and numbers out of range are reported with their
/// path.
namespace cumingauge::codec {

using Json = nlohmann::json;

/// Returns the JSON form of a value.
template <class T> Json toJson(const T &Value);

/// Reads a value from JSON. Adds the problems found to \p Found; \p Out is then
/// only partly filled and must not be used.
/// \param Path JSON path of the value, for the problems.
template <class T>
void fromJson(const Json &In, const std::string &Path, T &Out,
              model::Problems &Found);

namespace detail {

/// Whether a T may also be given as one JSON string, such as "host:port". Such
/// a type has a function `bool readText(std::string, T &)`, which is found by
/// argument dependent lookup.
template <class T, class = void> struct HasTextForm : std::false_type {};
template <class T>
struct HasTextForm<
    T, std::void_t<decltype(readText(std::string(), std::declval<T &>()))>>
    : std::true_type {};
template <class T> struct IsDuration : std::false_type {};
template <class R, class P>
struct IsDuration<std::chrono::duration<R, P>> : std::true_type {};
template <class T> struct IsVector : std::false_type {};
template <class T> struct IsVector<std::vector<T>> : std::true_type {};
template <class T> struct IsSet : std::false_type {};
template <class T> struct IsSet<std::set<T>> : std::true_type {};
template <class T> struct IsMap : std::false_type {};
template <class T> struct IsMap<std::map<std::string, T>> : std::true_type {};
template <class T> struct IsOptional : std::false_type {};
template <class T> struct IsOptional<std::optional<T>> : std::true_type {};
template <class T> struct IsShared : std::false_type {};
template <class T> struct IsShared<model::Shared<T>> : std::true_type {
  using Value = T;
};
template <class T> struct IsVariant : std::false_type {};
template <class... T> struct IsVariant<std::variant<T...>> : std::true_type {};

template <class T>
using Members =
    boost::describe::describe_members<T, boost::describe::mod_public |
                                             boost::describe::mod_inherited>;

template <class P> constexpr const char *unitSuffix() {
  if constexpr (std::is_same_v<P, std::milli>)
    return "Ms";
  else if constexpr (std::is_same_v<P, std::micro>)
    return "Us";
  else
    return "S";
}

inline std::string lowerFirst(std::string Name) {
  if (!Name.empty())
    Name[0] =
        static_cast<char>(std::tolower(static_cast<unsigned char>(Name[0])));
  return Name;
}

/// The class that declares a member, and the member's type.
template <class Pointer> struct MemberPointer;
template <class T, class C> struct MemberPointer<T C::*> {
  using Class = C;
  using Type = T;
};

/// Returns the JSON key of a described member.
/// \param D its Boost.Describe descriptor.
template <class Descriptor> std::string keyOf(Descriptor D) {
  using Pointer = MemberPointer<std::remove_cv_t<decltype(D.pointer)>>;
  using Type = typename Pointer::Type;
  const std::string_view Given =
      model::givenOuterName<typename Pointer::Class>(D.name);
  if (!Given.empty())
    return std::string(Given);
  std::string Key = lowerFirst(D.name);
  if (!Key.empty() && Key.back() == '_')
    Key.pop_back();
  if constexpr (IsDuration<Type>::value)
    Key += unitSuffix<typename Type::period>();
  return Key;
}

/// Returns the text of an enumerator of T called \p Name in C++.
template <class T> std::string enumTextOf(const char *Name) {
  const std::string_view Given = model::givenOuterName<T>(Name);
  return Given.empty() ? lowerFirst(Name) : std::string(Given);
}

template <class T>
void readInteger(const Json &In, const std::string &Path, T &Out,
                 model::Problems &Found) {
  if (!In.is_number_integer()) {
    Found.push_back({Path, "must be a whole number"});
    return;
  }
  // A 7 that was assigned in the program is stored as a signed integer, while
  // the parser stores it as an unsigned one.
  const bool Negative = !In.is_number_unsigned() && In.get<std::int64_t>() < 0;
  const bool Fits =
      Negative
          ? std::is_signed_v<T> &&
                In.get<std::int64_t>() >=
                    static_cast<std::int64_t>(std::numeric_limits<T>::min())
          : In.get<std::uint64_t>() <=
                static_cast<std::uint64_t>(std::numeric_limits<T>::max());
  if (!Fits) {
    Found.push_back({Path, "must be between " +
                               std::to_string(std::numeric_limits<T>::min()) +
                               " and " +
                               std::to_string(std::numeric_limits<T>::max())});
    return;
  }
  Out = In.get<T>();
}

template <class T>
void readEnum(const Json &In, const std::string &Path, T &Out,
              model::Problems &Found) {
  std::string Choices;
  bool Matched = false;
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>(
      [&](auto D) {
        const std::string Name = enumTextOf<T>(D.name);
        Choices += (Choices.empty() ? "" : ", ") + Name;
        if (In.is_string() && In.get_ref<const std::string &>() == Name) {
          Out = D.value;
          Matched = true;
        }
      });
  if (!Matched)
    Found.push_back({Path, "must be one of " + Choices});
}

template <class T>
void readStruct(const Json &In, const std::string &Path, T &Out,
                model::Problems &Found, const char *IgnoredKey = nullptr) {
  if (!In.is_object()) {
    Found.push_back({Path, "must be an object"});
    return;
  }
  std::set<std::string> Known;
  boost::mp11::mp_for_each<Members<T>>([&](auto D) {
    const std::string Key = keyOf(D);
    Known.insert(Key);
    const auto Entry = In.find(Key);
    if (Entry != In.end())
      fromJson(*Entry, Path + "/" + Key, Out.*D.pointer, Found);
  });
  for (const auto &Entry : In.items())
    if (!Known.count(Entry.key()) &&
        Entry.key() != (IgnoredKey ? IgnoredKey : ""))
      Found.push_back({Path + "/" + Entry.key(), "is not a known key"});
}

template <class... T>
void readVariant(const Json &In, const std::string &Path,
                 std::variant<T...> &Out, model::Problems &Found) {
  if (!In.is_object() || !In.contains("kind") || !In["kind"].is_string()) {
    Found.push_back({Path, "must be an object with a \"kind\""});
    return;
  }
  const std::string Kind = In["kind"].get<std::string>();
  bool Matched = false;
  const auto TryOne = [&](auto Empty) {
    using Alternative = decltype(Empty);
    if (Matched || Kind != Alternative::Kind)
      return;
    Matched = true;
    readStruct(In, Path, Empty, Found, "kind");
    Out = std::move(Empty);
  };
  (TryOne(T{}), ...);
  if (!Matched)
    Found.push_back({Path + "/kind", "\"" + Kind + "\" is not a known kind"});
}

template <class T> Json structToJson(const T &Value) {
  Json Out = Json::object();
  boost::mp11::mp_for_each<Members<T>>([&](auto D) {
    using Member =
        std::remove_cv_t<std::remove_reference_t<decltype(Value.*D.pointer)>>;
    if constexpr (IsOptional<Member>::value) {
      if (Value.*D.pointer)
        Out[keyOf(D)] = toJson(*(Value.*D.pointer));
    } else {
      Out[keyOf(D)] = toJson(Value.*D.pointer);
    }
  });
  return Out;
}

} // namespace detail

template <class T> Json toJson(const T &Value) {
  if constexpr (std::is_same_v<T, Json>) {
    return Value;
  } else if constexpr (detail::IsDuration<T>::value) {
    return Value.count();
  } else if constexpr (std::is_enum_v<T>) {
    return detail::enumTextOf<T>(boost::describe::enum_to_string(Value, ""));
  } else if constexpr (detail::IsVector<T>::value || detail::IsSet<T>::value) {
    Json Out = Json::array();
    for (const auto &Element : Value)
      Out.push_back(toJson(Element));
    return Out;
  } else if constexpr (detail::IsMap<T>::value) {
    Json Out = Json::object();
    for (const auto &Entry : Value)
      Out[Entry.first] = toJson(Entry.second);
    return Out;
  } else if constexpr (detail::IsShared<T>::value) {
    return toJson(*Value);
  } else if constexpr (detail::IsVariant<T>::value) {
    return std::visit(
        [](const auto &Alternative) {
          Json Out = detail::structToJson(Alternative);
          Out["kind"] = std::decay_t<decltype(Alternative)>::Kind;
          return Out;
        },
        Value);
  } else if constexpr (boost::describe::has_describe_members<T>::value) {
    return detail::structToJson(Value);
  } else {
    return Json(Value);
  }
}

template <class T>
void fromJson(const Json &In, const std::string &Path, T &Out,
              model::Problems &Found) {
  if constexpr (std::is_same_v<T, Json>) {
    Out = In;
  } else if constexpr (detail::IsDuration<T>::value) {
    typename T::rep Count{};
    const std::size_t Before = Found.size();
    fromJson(In, Path, Count, Found);
    if (Found.size() == Before)
      Out = T(Count);
  } else if constexpr (std::is_enum_v<T>) {
    detail::readEnum(In, Path, Out, Found);
  } else if constexpr (std::is_same_v<T, bool>) {
    if (In.is_boolean())
      Out = In.get<bool>();
    else
      Found.push_back({Path, "must be true or false"});
  } else if constexpr (std::is_integral_v<T>) {
    detail::readInteger(In, Path, Out, Found);
  } else if constexpr (std::is_floating_point_v<T>) {
    if (In.is_number())
      Out = In.get<T>();
    else
      Found.push_back({Path, "must be a number"});
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (In.is_string())
      Out = In.get<std::string>();
    else
      Found.push_back({Path, "must be a string"});
  } else if constexpr (detail::IsVector<T>::value || detail::IsSet<T>::value) {
    if (!In.is_array()) {
      Found.push_back({Path, "must be a list"});
      return;
    }
    Out.clear();
    std::size_t Index = 0;
    for (const Json &Element : In) {
      typename T::value_type Value{};
      fromJson(Element, Path + "/" + std::to_string(Index++), Value, Found);
      Out.insert(Out.end(), std::move(Value));
    }
  } else if constexpr (detail::IsMap<T>::value) {
    if (!In.is_object()) {
      Found.push_back({Path, "must be an object"});
      return;
    }
    Out.clear();
    for (const auto &Entry : In.items())
      fromJson(Entry.value(), Path + "/" + Entry.key(), Out[Entry.key()],
               Found);
  } else if constexpr (detail::IsOptional<T>::value) {
    Out.emplace();
    fromJson(In, Path, *Out, Found);
  } else if constexpr (detail::IsShared<T>::value) {
    typename detail::IsShared<T>::Value Value{};
    fromJson(In, Path, Value, Found);
    Out = std::move(Value);
  } else if constexpr (detail::IsVariant<T>::value) {
    detail::readVariant(In, Path, Out, Found);
  } else {
    if constexpr (detail::HasTextForm<T>::value) {
      if (In.is_string()) {
        if (!readText(In.get<std::string>(), Out))
          Found.push_back({Path, "is malformed"});
        return;
      }
    }
    detail::readStruct(In, Path, Out, Found);
  }
}

} // namespace cumingauge::codec
