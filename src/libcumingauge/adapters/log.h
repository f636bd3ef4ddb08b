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

  /// Returns a field whose value is JSON text.
  static LogField json(std::string_view Name, const std::string &Text) {
    LogField Out(Name, Text);
    Out.IsJson_ = true;
    return Out;
  }

  std::string Name_;
  std::string Value_;
  bool IsJson_ = false; ///< Value_ is JSON text; false: a string
};

/// Stream that log lines are written to. Programs that print their result to
/// standard output log to standard error.
enum class LogTarget { StandardOutput, StandardError };

/// Starts logging to a stream, one line per record. Logging never blocks: when
/// the reader of the stream is too slow, lines are dropped.
/// \param Process process name written into every record.
void startLog(const LogSettings &Settings, const std::string &Process,
              LogTarget Target = LogTarget::StandardError);

/// Writes the buffered lines to the stream. To be called a few times a second.
void flushLog();

/// Returns the number of log lines dropped since the start of the process.
std::uint64_t logLinesDropped();

/// Writes one log record. Thread-safe.
void log(LogLevel Level, std::string_view Message,
         std::initializer_list<LogField> Fields = {});

} // namespace cumingauge::adapters
