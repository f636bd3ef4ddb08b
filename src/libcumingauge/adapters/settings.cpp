#include "adapters/settings.h"
#include <fstream>
#include <sstream>

namespace cumingauge::adapters {

namespace {

boost::leaf::error_id fail(model::ResultCode Code, std::string Path,
                           std::string Message) {
  SettingsError Error;
  Error.Code_ = Code;
  Error.Problems_.push_back({std::move(Path), std::move(Message)});
  return boost::leaf::new_error(std::move(Error));
}

codec::Json parseOverrideValue(const std::string &Text) {
  codec::Json Value =
      codec::Json::parse(Text, nullptr, /*allow_exceptions=*/false);
  return Value.is_discarded() ? codec::Json(Text) : Value;
}

} // namespace

boost::leaf::result<codec::Json>
readSettingsDocument(const std::string &File,
                     const std::vector<std::string> &Overrides) {
  codec::Json Document = codec::Json::object();
  if (!File.empty()) {
    std::ifstream In(File);
    if (!In)
      return fail(model::ResultCode::SettingsUnreadable, File,
                  "cannot be opened");
    try {
      Document = codec::Json::parse(In);
    } catch (const codec::Json::parse_error &Error) {
      return fail(model::ResultCode::SettingsMalformed, File, Error.what());
    }
  }
  for (const std::string &Override : Overrides) {
    const std::size_t Equals = Override.find('=');
    if (Equals == std::string::npos || Equals == 0)
      return fail(model::ResultCode::UsageInvalid, Override,
                  "must be written path=value");
    std::string Pointer = "/" + Override.substr(0, Equals);
    for (char &C : Pointer)
      if (C == '.')
        C = '/';
    try {
      Document[codec::Json::json_pointer(Pointer)] =
          parseOverrideValue(Override.substr(Equals + 1));
    } catch (const codec::Json::exception &Error) {
      return fail(model::ResultCode::UsageInvalid, Override, Error.what());
    }
  }
  return Document;
}

} // namespace cumingauge::adapters
