#pragma once

#include "model/describe.h"
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cumingauge::adapters {

enum class LogLevel { Debug, Info, Warning, Error };
BOOST_DESCRIBE_ENUM(LogLevel, Debug, Info, Warning, Error)

enum class LogFormat { Json, Text };
BOOST_DESCRIBE_ENUM(LogFormat, Json, Text)

struct LogSettings {
  LogLevel Level_ = LogLevel::Info;
  LogFormat Format_ = LogFormat::Json;
};
BOOST_DESCRIBE_STRUCT(LogSettings, (), (Level_, Format_))

/// One named value of a log record.
struct LogField {
  LogField(std::string_view Name, std::string_view Value)
      : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, const char *Value)
      : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, const std::string &Value)
      : Name_(Name), Value_(Value) {}
  template <class T>
  LogField(std::string_view Name, T Number)
      : Name_(Name), Value_(std::to_string(Number)), IsNumber_(true) {}

  std::string Name_;
  std::string Value_;
  bool IsNumber_ = false;
};

/// Sends log records of this process to standard error, one line a record.
/// \param Process name that every record carries.
void startLog(const LogSettings &Settings, const std::string &Process);

/// Writes one record. May be called from any thread.
void log(LogLevel Level, std::string_view Message,
         std::initializer_list<LogField> Fields = {});

} // namespace cumingauge::adapters
