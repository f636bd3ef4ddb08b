#pragma once

#include <array>
#include <boost/describe.hpp>
#include <boost/mp11.hpp>
#include <cstddef>
#include <string_view>
#include <type_traits>

/// Gives described members of a struct, or enumerators of an enum, another
/// name in JSON and CBOR than the one derived from their C++ name:
///
///     BOOST_DESCRIBE_STRUCT(Route, (), (Deadline_))
///     CUMINGAUGE_OUTER_NAMES(Route, {"Deadline_", "timeLimitMs"})
///
/// The outer name is the whole key or value, with its unit suffix. The macro
/// stands after the BOOST_DESCRIBE_ macro in the namespace of the type; a C++
/// name that is not described there does not compile.
#define CUMINGAUGE_OUTER_NAMES(Type, ...)                                      \
  constexpr auto outerNames(const Type *) {                                    \
    return ::cumingauge::model::makeOuterNames({__VA_ARGS__});                 \
  }                                                                            \
  static_assert(::cumingauge::model::areDescribed<Type>(                       \
                    outerNames(static_cast<const Type *>(nullptr))),           \
                "an outer name is given for a name that is not described");

namespace cumingauge::model {

// Comparison and equality for every described value type of this namespace.
using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;
using boost::describe::operators::operator<;

/// Name of a described member or enumerator in C++ and in documents.
struct OuterName {
  std::string_view CppName_;
  std::string_view OuterName_;
};

template <std::size_t N>
constexpr std::array<OuterName, N> makeOuterNames(const OuterName (&Names)[N]) {
  std::array<OuterName, N> Out{};
  for (std::size_t I = 0; I < N; ++I)
    Out[I] = Names[I];
  return Out;
}

/// Returns the outer names given to T; none unless CUMINGAUGE_OUTER_NAMES
/// declares an overload, which is found by argument dependent lookup.
template <class T> constexpr std::array<OuterName, 0> outerNames(const T *) {
  return {};
}

/// Returns the outer name of a described member or enumerator of T, or an
/// empty string when it is derived from the C++ name.
template <class T>
constexpr std::string_view givenOuterName(std::string_view CppName) {
  for (const OuterName &Name : outerNames(static_cast<const T *>(nullptr)))
    if (Name.CppName_ == CppName)
      return Name.OuterName_;
  return {};
}

/// Whether T itself (not a base) describes a member or enumerator called so.
template <class T> constexpr bool isDescribed(std::string_view CppName) {
  bool Found = false;
  const auto Compare = [&](auto D) { Found = Found || CppName == D.name; };
  if constexpr (std::is_enum_v<T>)
    boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>(Compare);
  else
    boost::mp11::mp_for_each<
        boost::describe::describe_members<T, boost::describe::mod_public>>(
        Compare);
  return Found;
}

template <class T, std::size_t N>
constexpr bool areDescribed(const std::array<OuterName, N> &Names) {
  for (const OuterName &Name : Names)
    if (!isDescribed<T>(Name.CppName_))
      return false;
  return true;
}

} // namespace cumingauge::model
