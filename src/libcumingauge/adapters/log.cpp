#include "adapters/log.h"
#include "adapters/boundedoutput.h"
#include "codec/describedjson.h"
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <memory>
#include <unistd.h>

namespace cumingauge::adapters {

namespace {

namespace blog = boost::log;
/// Bytes of log lines buffered while the reader of the stream is slow.
constexpr std::size_t MaxBufferedBytes = 262144;

/// Sink backend of Boost.Log that writes to a bounded buffer and never blocks.
class LogSinkBackend : public blog::sinks::basic_formatted_sink_backend<
                           char, blog::sinks::concurrent_feeding> {
public:
  LogSinkBackend(std::shared_ptr<BoundedOutput> Output, bool FlushEachLine)
      : Output_(std::move(Output)), FlushEachLine_(FlushEachLine) {}

  void consume(const blog::record_view & /*Record*/, const std::string &Line) {
    Output_->push(Line);
    if (FlushEachLine_)
      Output_->flush();
  }

private:
  const std::shared_ptr<BoundedOutput> Output_;
  const bool FlushEachLine_;
};

std::shared_ptr<BoundedOutput> ActiveOutput;
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
    if (Field.IsJson_)
      Record[Field.Name_] =
          nlohmann::ordered_json::parse(Field.Value_, nullptr, false);
    else
      Record[Field.Name_] = Field.Value_;
  }
  return Record.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

void startLog(const LogSettings &Settings, const std::string &Process,
              LogTarget Target) {
  ActiveFormat = Settings.Format_;
  ActiveProcess = Process;
  const bool ToStandardOutput = Target == LogTarget::StandardOutput;
  ActiveOutput = std::make_shared<BoundedOutput>(
      ToStandardOutput ? STDOUT_FILENO : STDERR_FILENO, MaxBufferedBytes);
  auto Core = blog::core::get();
  Core->remove_all_sinks();
  Core->add_sink(
      boost::make_shared<blog::sinks::synchronous_sink<LogSinkBackend>>(
          boost::make_shared<LogSinkBackend>(
              ActiveOutput, /*FlushEachLine=*/!ToStandardOutput)));
  Core->set_filter(blog::expressions::attr<LogLevel>("Severity") >=
                   Settings.Level_);
}

void flushLog() {
  if (ActiveOutput)
    ActiveOutput->flush();
}

std::uint64_t logLinesDropped() {
  return ActiveOutput ? ActiveOutput->dropped() : 0;
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
