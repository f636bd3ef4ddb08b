#include "emulator/httpmessage.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/src.hpp> // Debian has no package of Boost.URL
#include <charconv>

namespace cumingauge::emulator {

std::string fieldOf(const HttpRequest &Request, std::string_view Name) {
  for (const HttpField &Field : Request.Fields_)
    if (boost::algorithm::iequals(Field.Name_, Name))
      return Field.Value_;
  return "";
}

bool Target::has(std::string_view Name) const {
  return std::any_of(Query_.begin(), Query_.end(),
                     [&](const auto &Pair) { return Pair.first == Name; });
}

std::string Target::value(std::string_view Name) const {
  for (const auto &Pair : Query_)
    if (Pair.first == Name)
      return Pair.second;
  return "";
}

std::uint64_t Target::number(std::string_view Name,
                             std::uint64_t Default) const {
  const std::string Text = value(Name);
  std::uint64_t Out = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  return Out;
}

std::optional<Target> parseTarget(std::string_view Text) {
  const auto Url = boost::urls::parse_origin_form(Text);
  if (!Url)
    return std::nullopt;
  Target Out;
  Out.Path_ = Url->path();
  for (const auto &Param : Url->params())
    Out.Query_.emplace_back(Param.key, Param.value);
  return Out;
}

} // namespace cumingauge::emulator
