#include "adapters/settings.h"
#include <cstdlib>
#include <fstream>
#include <functional>
#include <set>
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

/// Parser callback that detects duplicate keys in an object. The parser alone
/// would silently keep the last value.
class DuplicateKeyDetector {
public:
  bool operator()(int /*Depth*/, codec::Json::parse_event_t Event,
                  codec::Json &Parsed) {
    using ParseEvent = codec::Json::parse_event_t;
    if (Event == ParseEvent::object_start)
      OpenObjects_.emplace_back();
    else if (Event == ParseEvent::object_end)
      OpenObjects_.pop_back();
    else if (Event == ParseEvent::key)
      addKey(Parsed.get<std::string>());
    return true;
  }

  const model::Problems &found() const { return Found_; }

private:
  struct Object {
    std::set<std::string> Keys_;
    std::string Key_; ///< key of the value being parsed
  };

  void addKey(const std::string &Key) {
    OpenObjects_.back().Key_ = Key;
    if (OpenObjects_.back().Keys_.insert(Key).second)
      return;
    std::string Path;
    for (const Object &Parent : OpenObjects_)
      Path += "/" + Parent.Key_;
    Found_.push_back({Path, "stands twice"});
  }

  std::vector<Object> OpenObjects_;
  model::Problems Found_;
};

constexpr const char *OverridesVariable = "CUMINGAUGE_SET";

} // namespace

std::vector<std::string>
withEnvironmentOverrides(const std::vector<std::string> &Overrides) {
  std::vector<std::string> Out;
  const char *Text = std::getenv(OverridesVariable);
  std::istringstream Words(Text ? Text : "");
  for (std::string Word; Words >> Word;)
    if (Word.back() != '=')
      Out.push_back(Word);
  Out.insert(Out.end(), Overrides.begin(), Overrides.end());
  return Out;
}

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
      DuplicateKeyDetector Detector;
      Document = codec::Json::parse(In, std::ref(Detector));
      if (!Detector.found().empty())
        return boost::leaf::new_error(SettingsError{
            model::ResultCode::SettingsInvalid, Detector.found()});
    } catch (const codec::Json::parse_error &Error) {
      return fail(model::ResultCode::SettingsMalformed, File, Error.what());
    }
  }
  for (const std::string &Override : Overrides) {
    const std::size_t Equals = Override.find('=');
    if (Equals == std::string::npos || Equals == 0)
      return fail(model::ResultCode::UsageInvalid, Override,
                  "must have the form PATH=VALUE");
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
