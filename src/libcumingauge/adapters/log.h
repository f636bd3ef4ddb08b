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
      : Name_(Name), Value_(std::to_string(Number)), IsJson_(true) {}

  /// A value that is JSON text already.
  static LogField json(std::string_view Name, const std::string &Text) {
    LogField Out(Name, Text);
    Out.IsJson_ = true;
    return Out;
  }

  std::string Name_;
  std::string Value_;
  bool IsJson_ = false; ///< else it is written as a string
};

/// Where the lines go. Programs whose result is their standard output log to
/// standard error.
enum class LogTarget { StandardOutput, StandardError };

/// Sends log records of this process to a stream, one line a record. A reader
/// that does not keep up never holds the process: lines are then dropped.
/// \param Process name that every record carries.
void startLog(const LogSettings &Settings, const std::string &Process,
              LogTarget Target = LogTarget::StandardError);

/// Writes the lines that have gathered; to be called a few times a second.
void flushLog();

/// Lines dropped since the start.
std::uint64_t logLinesDropped();

/// Writes one record. May be called from any thread.
void log(LogLevel Level, std::string_view Message,
         std::initializer_list<LogField> Fields = {});

} // namespace cumingauge::adapters
