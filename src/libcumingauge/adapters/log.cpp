#include "adapters/log.h"
#include "codec/describedjson.h"
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <iostream>

namespace cumingauge::adapters {

namespace {

namespace blog = boost::log;
using Backend = blog::sinks::text_ostream_backend;

LogFormat ActiveFormat = LogFormat::Json;
std::string ActiveProcess;

std::uint64_t wallMs() {
  using namespace std::chrono;
  return static_cast<std::uint64_t>(
      duration_cast<milliseconds>(system_clock::now().time_since_epoch())
          .count());
}

std::string textLine(LogLevel Level, std::string_view Message,
                     std::initializer_list<LogField> Fields) {
  std::string Line = std::to_string(wallMs()) + " " +
                     boost::describe::enum_to_string(Level, "") + " " +
                     ActiveProcess + ": " + std::string(Message);
  for (const LogField &Field : Fields)
    Line += " " + Field.Name_ + "=" + Field.Value_;
  return Line;
}

std::string jsonLine(LogLevel Level, std::string_view Message,
                     std::initializer_list<LogField> Fields) {
  nlohmann::ordered_json Record;
  Record["timeMs"] = wallMs();
  Record["level"] =
      codec::detail::lowerFirst(boost::describe::enum_to_string(Level, ""));
  Record["process"] = ActiveProcess;
  Record["message"] = std::string(Message);
  for (const LogField &Field : Fields) {
    if (Field.IsNumber_)
      Record[Field.Name_] =
          nlohmann::ordered_json::parse(Field.Value_, nullptr, false);
    else
      Record[Field.Name_] = Field.Value_;
  }
  return Record.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void startLog(const LogSettings &Settings, const std::string &Process) {
  ActiveFormat = Settings.Format_;
  ActiveProcess = Process;
  auto Sinks = boost::make_shared<Backend>();
  Sinks->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  Sinks->auto_flush(true);
  auto Core = blog::core::get();
  Core->remove_all_sinks();
  Core->add_sink(
      boost::make_shared<blog::sinks::synchronous_sink<Backend>>(Sinks));
  Core->set_filter(blog::expressions::attr<LogLevel>("Severity") >=
                   Settings.Level_);
}

void log(LogLevel Level, std::string_view Message,
         std::initializer_list<LogField> Fields) {
  thread_local blog::sources::severity_logger<LogLevel> Logger;
  blog::record Record = Logger.open_record(blog::keywords::severity = Level);
  if (!Record)
    return;
  blog::record_ostream Out(Record);
  Out << (ActiveFormat == LogFormat::Json ? jsonLine(Level, Message, Fields)
                                          : textLine(Level, Message, Fields));
  Out.flush();
  Logger.push_record(std::move(Record));
}

} // namespace cumingauge::adapters
