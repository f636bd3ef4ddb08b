#include "adapters/calllog.h"
#include "adapters/log.h"
#include "codec/describedjson.h"
#include <algorithm>

namespace cumingauge::adapters {

namespace {

constexpr model::seconds WindowLength{1};
/// One in this many ordinary calls is logged.
constexpr std::uint64_t SampleInterval = 64;
constexpr unsigned FirstServerError = 500;
/// Logged for a time that does not apply to a call.
constexpr model::milliseconds NoTime{-1};

/// Returns whether a call succeeded in time, in one attempt, without an error
/// of the server, and not while this process stops.
bool isOrdinary(const CallRecord &Record) {
  return Record.Code_ == model::ResultCode::Ok && !Record.Late_ &&
         !Record.Stopping_ && Record.Attempts_.size() <= 1 &&
         std::all_of(Record.Attempts_.begin(), Record.Attempts_.end(),
                     [](const model::AttemptTrace &Attempt) {
                       return Attempt.Status_ < FirstServerError;
                     });
}

std::string codeName(model::ResultCode Code) {
  return std::string(model::nameOf(Code));
}

auto toMs(const std::optional<model::Duration> &Time) {
  return Time ? std::chrono::duration_cast<model::milliseconds>(*Time).count()
              : NoTime.count();
}

} // namespace

void CallLog::recordCall(const CallRecord &Record, model::TimePoint Now) {
  if (isOrdinary(Record) && ++OrdinaryCalls_ % SampleInterval != 0)
    return;
  if (!admitLine(Calls_, Now))
    return;
  log(LogLevel::Info, Record.Abandoned_ ? "call abandoned" : "call ended",
      {{"call", Record.Call_},
       {"route", Record.Route_},
       {"service", Record.Service_},
       {"workspace", Record.Workspace_},
       {"code", static_cast<int>(Record.Code_)},
       {"codeName", codeName(Record.Code_)},
       {"tookMs", Record.Took_.count()},
       {"allowedMs", Record.Allowed_.count()},
       {"late", Record.Late_ ? 1 : 0},
       {"stoppingMs", Record.Stopping_.value_or(NoTime).count()},
       {"creditMs", Record.CreditWait_.value_or(NoTime).count()},
       {"pipelined", Record.Pipelined_ ? 1 : 0},
       {"configVersion", Record.ConfigVersion_},
       {"leftOut", std::exchange(Calls_.Suppressed_, 0)},
       LogField::json("attempts", codec::toJson(Record.Attempts_).dump())});
}

void CallLog::recordRefusedRequest(const RefusalRecord &Record,
                                   model::TimePoint Now) {
  if (!admitLine(Refusals_, Now))
    return;
  log(LogLevel::Info, "request refused",
      {{"call", Record.Call_},
       {"target", Record.Target_},
       {"host", Record.Host_},
       {"code", static_cast<int>(Record.Code_)},
       {"codeName", codeName(Record.Code_)},
       {"detail", Record.Detail_},
       {"configVersion", Record.ConfigVersion_},
       {"acceptedVersion", Record.AcceptedVersion_},
       {"configAgeMs", Record.ConfigAge_.count()},
       {"configSource", Record.ConfigSource_},
       {"leftOut", std::exchange(Refusals_.Suppressed_, 0)}});
}

void CallLog::recordConnectionEnd(const ConnectionEndRecord &Record,
                                  model::TimePoint Now) {
  if (!admitLine(ConnectionEnds_, Now))
    return;
  log(LogLevel::Info, "caller connection closed",
      {{"peer", Record.Peer_},
       {"port", Record.Port_},
       {"reason", boost::describe::enum_to_string(Record.End_, "")},
       {"call", Record.Call_},
       {"idleMs", toMs(Record.Idle_)},
       {"limitMs", toMs(Record.Limit_)},
       {"limitNowMs", toMs(Record.LimitNow_)},
       {"timerLateMs", toMs(Record.TimerLate_)},
       {"threadLateMs", toMs(Record.ThreadLate_)},
       {"unreadBytes", Record.UnreadBytes_},
       {"bufferedBytes", Record.BufferedBytes_},
       {"requestsServed", Record.Requests_},
       {"configVersion", Record.ConfigVersion_},
       {"leftOut", std::exchange(ConnectionEnds_.Suppressed_, 0)}});
}

void CallLog::recordDiscardedBytes(const DiscardRecord &Record,
                                   model::TimePoint Now) {
  if (!admitLine(Discards_, Now))
    return;
  log(LogLevel::Info, "bytes discarded after close",
      {{"peer", Record.Peer_},
       {"port", Record.Port_},
       {"bytes", Record.Bytes_},
       {"closeAnnounced", Record.Announced_ ? 1 : 0},
       {"reason", boost::describe::enum_to_string(Record.End_, "")},
       {"msSinceClose", toMs(Record.SinceClose_)},
       {"idleMs", toMs(Record.Idle_)},
       {"leftOut", std::exchange(Discards_.Suppressed_, 0)}});
}

void CallLog::recordUnreadableNotice(const std::string &Call,
                                     const std::string &Server,
                                     model::TimePoint Now) {
  if (!admitLine(Calls_, Now))
    return;
  log(LogLevel::Info, "notice of a server cannot be read",
      {{"call", Call},
       {"server", Server},
       {"leftOut", std::exchange(Calls_.Suppressed_, 0)}});
}

void CallLog::recordFaultyAnswer(const std::string &Call,
                                 const model::BackendServer &Server,
                                 model::AnswerFault Fault, unsigned Status,
                                 model::TimePoint Now) {
  if (!admitLine(Calls_, Now))
    return;
  log(LogLevel::Warning, "faulty answer of a server",
      {{"call", Call},
       {"server", Server.Name_},
       {"vm", Server.Vm_},
       {"fault", boost::describe::enum_to_string(Fault, "")},
       {"status", Status},
       {"leftOut", std::exchange(Calls_.Suppressed_, 0)}});
}

bool CallLog::admitLine(LineWindow &Window, model::TimePoint Now) {
  if (Now - Window.Start_ >= WindowLength) {
    Window.Start_ = Now;
    Window.Lines_ = 0;
  }
  if (++Window.Lines_ <= Window.MaxLines_)
    return true;
  ++Window.Suppressed_;
  return false;
}

} // namespace cumingauge::adapters
