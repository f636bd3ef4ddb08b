// Why and when a caller's connection ends, for log and metrics.
#include "adapters/httpcallersession.h"
#include "adapters/httpworker.h"

namespace cumingauge::adapters {

using boost::system::error_code;
using traffic::ConnectionEnd;

/// Notes, counts and logs why the connection ends. The first reason counts.
void HttpCallerSession::decideEnd(ConnectionEnd End) {
  if (End_)
    return;
  const model::TimePoint Now = Worker_.now();
  End_ = End;
  EndedAt_ = Now;
  const bool IsIdle = Phase_ == Phase::Head && !Reader_.hasPartialRequest();
  if (IsIdle)
    IdleAtEnd_ = Now - IdleSince_;
  ConnectionEndRecord Record;
  Record.Peer_ = Peer_;
  Record.Port_ = PeerPort_;
  Record.End_ = End;
  Record.Call_ = CallId_;
  Record.Idle_ = IdleAtEnd_;
  if (End == ConnectionEnd::IdleTimeout ||
      End == ConnectionEnd::AnswerNotRead) {
    Record.Limit_ = Timeout_;
    Record.LimitNow_ = End == ConnectionEnd::IdleTimeout
                           ? Worker_.limits().IdleTimeout_
                           : Worker_.limits().WriteTimeout_;
    Record.TimerLate_ = Now - WaitsSince_ - Timeout_;
  }
  if (traffic::isUnannounced(End)) {
    error_code Error; // on which the count is 0
    Record.UnreadBytes_ = Socket_.available(Error);
    Record.BufferedBytes_ = Reader_.buffered();
  }
  Record.Requests_ = RequestsServed_;
  Worker_.recordConnectionEnd(std::move(Record));
}

void HttpCallerSession::recordDiscardedBytes(std::size_t Bytes) {
  DiscardRecord Record;
  Record.Peer_ = Peer_;
  Record.Port_ = PeerPort_;
  Record.Bytes_ = Bytes;
  Record.Announced_ = isCloseAnnounced();
  Record.End_ = End_.value_or(ConnectionEnd::CallerClosed);
  Record.SinceClose_ = Worker_.now() - EndedAt_;
  Record.Idle_ = IdleAtEnd_;
  Worker_.recordDiscardedBytes(Record);
}

} // namespace cumingauge::adapters
