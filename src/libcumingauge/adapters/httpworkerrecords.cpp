// The part of HttpWorker that counts and logs calls and reports events.
#include "adapters/httpworker.h"
#include "policy/coldservers.h"
#include "policy/notices.h"
#include <algorithm>

namespace cumingauge::adapters {

using model::ResultCode;

namespace {

constexpr model::seconds EventWindowLength{1};
/// Of one kind of cause, per thread.
constexpr unsigned MaxEventsPerWindow = 20;

} // namespace

void HttpWorker::recordCallStart() {
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  ++Stats_.InFlight_;
}

void HttpWorker::recordCallEnd(const HttpCall &Call, ResultCode Code) {
  const policy::CallFacts &Facts = Call.facts();
  const bool ArrivedInStop = timeSinceStop(Facts).has_value();
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    --Stats_.InFlight_;
    Stats_.StoppingCalls_ += ArrivedInStop ? 1 : 0;
    traffic::recordCall(Stats_.Routes_[Facts.Route_.Name_], Code,
                        now() - Facts.Arrived_);
  }
  CallLog_.recordCall(recordOf(Call, Code), now());
  if (model::isNotRun(Code))
    recordEvent(model::EventKind::CallRefused, Call.callId(), Code,
                "route " + Facts.Route_.Name_);
}

std::optional<model::milliseconds>
HttpWorker::timeSinceStop(const policy::CallFacts &Facts) const {
  if (!Stop_ || Facts.Arrived_ < Stop_->StartedAt_)
    return std::nullopt;
  return std::chrono::duration_cast<model::milliseconds>(Facts.Arrived_ -
                                                         Stop_->StartedAt_);
}

void HttpWorker::recordAbandonedCall(const HttpCall &Call) {
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    ++Stats_.AbandonedCalls_;
  }
  CallRecord Record = recordOf(Call, ResultCode::InternalError);
  Record.Abandoned_ = true;
  CallLog_.recordCall(Record, now());
}

void HttpWorker::recordConnectionEnd(ConnectionEndRecord Record) {
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    ++Stats_.ConnectionEnds_[Record.End_];
  }
  if (!traffic::isUnannounced(Record.End_))
    return;
  Record.ConfigVersion_ = View_ ? View_->Config_->Version_ : 0;
  Record.ThreadLate_ =
      std::max(TickWatch_.lateness(), now() - TickTimer_.expiry());
  CallLog_.recordConnectionEnd(Record, now());
}

void HttpWorker::recordUnservedConnection(
    const boost::asio::ip::tcp::socket &Socket) {
  ConnectionEndRecord Record;
  boost::system::error_code Ignored; // the peer may be gone
  const auto Remote = Socket.remote_endpoint(Ignored);
  if (!Ignored) {
    Record.Peer_ = Remote.address().to_string();
    Record.Port_ = Remote.port();
  }
  Record.End_ = traffic::ConnectionEnd::NotServed;
  Record.UnreadBytes_ = Socket.available(Ignored);
  recordConnectionEnd(std::move(Record));
}

void HttpWorker::recordDiscardedBytes(const DiscardRecord &Record) {
  {
    const std::lock_guard<std::mutex> Lock(PublishedMutex_);
    ++Stats_.DiscardingConnections_;
  }
  CallLog_.recordDiscardedBytes(Record, now());
}

CallRecord HttpWorker::recordOf(const HttpCall &Call, ResultCode Code) const {
  const policy::CallFacts &Facts = Call.facts();
  CallRecord Record;
  Record.Call_ = Call.callId();
  Record.Route_ = Facts.Route_.Name_;
  Record.Service_ = Facts.Route_.Service_;
  Record.Workspace_ = Call.workspace();
  Record.Code_ = Code;
  Record.Took_ =
      std::chrono::duration_cast<model::milliseconds>(now() - Facts.Arrived_);
  Record.Allowed_ = std::chrono::duration_cast<model::milliseconds>(
      Facts.Deadline_ - Facts.Arrived_);
  const model::milliseconds Objective = Facts.Route_.Objective_;
  Record.Late_ = Objective > model::milliseconds(0) && Record.Took_ > Objective;
  Record.Stopping_ = timeSinceStop(Facts);
  Record.Pipelined_ = Call.isPipelined();
  Record.CreditWait_ = Call.credit().Waited_;
  Record.ConfigVersion_ = View_ ? View_->Config_->Version_ : 0;
  Record.Attempts_ = Call.traces();
  return Record;
}

void HttpWorker::recordEvent(model::EventKind Kind, const std::string &Subject,
                             ResultCode Reason, const std::string &Detail) {
  recordInWindow(CallEvents_, Kind, Subject, Reason, Detail);
}

void HttpWorker::recordNoticeEvent(model::EventKind Kind,
                                   const model::BackendServer &Server,
                                   const std::string &Detail) {
  recordInWindow(NoticeEvents_, Kind, Server.Name_, ResultCode::Ok,
                 "vm " + Server.Vm_ + Detail);
}

void HttpWorker::recordInWindow(EventWindow &Window, model::EventKind Kind,
                                const std::string &Subject, ResultCode Reason,
                                const std::string &Detail) {
  const model::TimePoint Now = now();
  if (Now - Window.Start_ >= EventWindowLength) {
    Window.Start_ = Now;
    Window.Events_ = 0;
  }
  if (++Window.Events_ > MaxEventsPerWindow) {
    ++Window.Dropped_;
    return;
  }
  const std::string OmittedNote =
      Window.Dropped_ == 0
          ? ""
          : ", " + std::to_string(Window.Dropped_) + " earlier events omitted";
  Window.Dropped_ = 0;
  Common_->Hooks_.Events_(Kind, Subject, 0, Reason, Detail + OmittedNote);
}

void HttpWorker::publishStats() {
  NextPublish_ = now() + limits().TickPeriod_;
  std::vector<model::ServerActivity> Activity = policy::activity(*Balancer_);
  std::uint64_t Connections = 0;
  for (model::ServerActivity &Server : Activity) {
    const auto Handle =
        policy::findServer(*Balancer_, Server.Server_, Server.Vm_);
    const auto Found = Handle ? Servers_.find(*Handle) : Servers_.end();
    if (Found == Servers_.end())
      continue;
    Server.Connections_ = Found->second.Pool_->connections();
    Connections += Server.Connections_;
  }
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  Activity_ = std::move(Activity);
  Stats_.Queued_ = QueuedCalls_.size();
  Stats_.Credit_.Waiting_ = CreditWaits_.size();
  Stats_.CallerConnections_ = Sessions_.size();
  Stats_.BackendConnections_ = Connections;
  Stats_.CallerMemoryBytes_ = Common_->Memory_.held();
  Stats_.CallerMemoryBound_ = MemoryMarks_.Bound_;
  const policy::NoticeCounts Notices = policy::countNotices(*Balancer_, now());
  Stats_.AnnouncedLeaving_ = Notices.Leaving_;
  Stats_.PausedServers_ = Notices.Paused_;
  const policy::ColdCounts Cold = policy::countCold(*Balancer_, now());
  Stats_.ColdServers_ = Cold.Limited_;
  Stats_.ColdServersClosed_ = Cold.Closed_;
}

std::vector<model::ServerActivity> HttpWorker::activity() const {
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  return Activity_;
}

traffic::TrafficStats HttpWorker::stats() const {
  const std::lock_guard<std::mutex> Lock(PublishedMutex_);
  return Stats_;
}

} // namespace cumingauge::adapters
