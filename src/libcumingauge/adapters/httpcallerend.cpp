// How a caller's connection ends, and what the log and the metrics say of it.
#include "adapters/httpcallersession.h"
#include "adapters/httpworker.h"
#include "adapters/idlesocket.h"

namespace cumingauge::adapters {

using boost::asio::ip::tcp;
using boost::system::error_code;
using traffic::ConnectionEnd;

namespace {

/// How long a connection that is closing waits for the caller to close it too.
constexpr model::milliseconds LingerTimeout{1000};

} // namespace

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

void HttpCallerSession::lingerClose(ConnectionEnd End) {
  decideEnd(End);
  // Closing a socket with unread bytes makes the kernel reset the connection,
  // and the answer may be lost; so the rest is read until the caller closes.
  Phase_ = Phase::Closing;
  error_code Ignored;
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  setTimeout(LingerTimeout);
  Incoming_.reset();
  Reader_.release();
  read();
  updateMemory();
}

/// Closes a connection that carries no call, unless bytes of a request have
/// arrived: these are read and answered. The pending read is ended first, as it
/// may have taken bytes already. What arrives after the close is not read, and
/// the kernel resets the connection at once.
void HttpCallerSession::closeIdle(ConnectionEnd End) {
  if (!ReadInProgress_)
    return close(End);
  ClosingIdle_ = End;
  error_code Ignored; // the read ends in any case
  Socket_.cancel(Ignored);
}

/// Continues closeIdle() when its read has ended without bytes.
void HttpCallerSession::finishClosingIdle() {
  const ConnectionEnd End = *std::exchange(ClosingIdle_, std::nullopt);
  error_code Ignored; // the next read reports it
  const bool HasUnreadBytes = Socket_.available(Ignored) > 0;
  if (!HasUnreadBytes && !isLastAnswerUnsent())
    return close(End);
  setTimeout(HasUnreadBytes ? Worker_.limits().HeadTimeout_
                            : Worker_.limits().IdleTimeout_);
  read();
}

/// Returns whether the caller still receives the answer before. A reset, which
/// a further request would cause after the close, would cut it.
bool HttpCallerSession::isLastAnswerUnsent() {
  return Worker_.now() - IdleSince_ < Worker_.limits().WriteTimeout_ &&
         hasUnsentBytes(Socket_.native_handle());
}

void HttpCallerSession::onIdleTimeout() {
  const model::milliseconds Kept =
      policy::keptIdleFor(IdleTerms_, Worker_.limits().IdleTimeout_);
  if (WaitsSince_ + Kept <= Worker_.now())
    return closeIdle(ConnectionEnd::IdleTimeout);
  Timeout_ = Kept;
  TimeoutAt_ = WaitsSince_ + Kept;
}

} // namespace cumingauge::adapters
