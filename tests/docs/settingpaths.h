#pragma once

#include "codec/describedjson.h"
#include "model/preset.h"
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace cumingauge::tests {

/// Adds the dotted paths of all settings of T, such as "control.peer.port". A
/// list of values is one path; a list of structs adds the paths of its members.
template <class T>
void addSettingPaths(const std::string &Prefix, std::set<std::string> &Out) {
  boost::mp11::mp_for_each<codec::detail::Members<T>>([&](auto D) {
    using Member =
        std::remove_reference_t<decltype(std::declval<T &>().*D.pointer)>;
    const std::string Path = Prefix + codec::detail::keyOf(D);
    if constexpr (std::is_same_v<Member, model::Preset>) {
      Out.insert(Path); // described on a page of its own
    } else if constexpr (boost::describe::has_describe_members<Member>::value) {
      addSettingPaths<Member>(Path + ".", Out);
    } else if constexpr (codec::detail::IsVector<Member>::value) {
      using Element = typename Member::value_type;
      if constexpr (boost::describe::has_describe_members<Element>::value)
        addSettingPaths<Element>(Path + ".", Out);
      else
        Out.insert(Path);
    } else {
      Out.insert(Path);
    }
  });
}

/// Returns the first cells, in backquotes, of the table rows between a heading
/// of a page and the next heading.
inline std::set<std::string> documentedPaths(const std::string &Page,
                                             const std::string &Heading) {
  std::ifstream In(Page);
  static const std::regex Row(R"(^\| `([^`]+)` \|)");
  std::set<std::string> Out;
  bool Inside = false;
  for (std::string Line; std::getline(In, Line);) {
    if (Line.rfind("#", 0) == 0)
      Inside = Line == Heading;
    std::smatch Cell;
    if (Inside && std::regex_search(Line, Cell, Row))
      Out.insert(Cell[1].str());
  }
  return Out;
}

/// Returns the paths of \p Required that \p Found lacks, one a line.
inline std::string missingFrom(const std::set<std::string> &Required,
                               const std::set<std::string> &Found) {
  std::string Out;
  for (const std::string &Path : Required)
    if (!Found.count(Path))
      Out += Path + "\n";
  return Out;
}

} // namespace cumingauge::tests
