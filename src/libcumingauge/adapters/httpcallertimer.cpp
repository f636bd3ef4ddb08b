// The timer of a caller's connection, and what becomes due with it.
#include "adapters/httpcall.h"
#include "adapters/httpcallersession.h"
#include "adapters/httpworker.h"
#include <algorithm>

namespace cumingauge::adapters {

using boost::system::error_code;
using model::ResultCode;
using traffic::ConnectionEnd;

void HttpCallerSession::setTimeout(model::milliseconds Timeout) {
  WaitsSince_ = Worker_.now();
  Timeout_ = Timeout;
  TimeoutAt_ = WaitsSince_ + Timeout;
  armTimer();
}

void HttpCallerSession::setTimer(model::TimePoint When) {
  CallTimerAt_ = When;
  armTimer();
}

void HttpCallerSession::armTimer() {
  // The timer is not moved to a later time: when it fires early, it is set
  // again then. This saves most calls that set the timer.
  const model::TimePoint Next = std::min(TimeoutAt_, CallTimerAt_);
  if (TimerSetFor_ <= Next || Phase_ == Phase::Closed)
    return;
  TimerSetFor_ = Next;
  Timer_.expires_at(Next);
  Timer_.async_wait([Self = shared_from_this()](error_code Error) {
    if (!Error)
      Self->onTimerExpired();
  });
}

void HttpCallerSession::onTimerExpired() {
  TimerSetFor_ = model::TimePoint::max();
  const model::TimePoint Now = Worker_.now();
  if (CallTimerAt_ <= Now) {
    CallTimerAt_ = model::TimePoint::max();
    if (const auto Call = Call_)
      Call->onTimer(Now);
  }
  if (TimeoutAt_ <= Now) {
    TimeoutAt_ = model::TimePoint::max();
    onTimeout();
  }
  armTimer();
}

void HttpCallerSession::onTimeout() {
  // Without a reset, the kernel goes on sending what it holds of the answers.
  if (Phase_ == Phase::Closing)
    return finishClose();
  if (WriteInProgress_)
    return reset(ConnectionEnd::AnswerNotRead);
  if (Phase_ == Phase::Head && !Reader_.hasPartialRequest())
    return onIdleTimeout();
  if (Phase_ == Phase::Head || Phase_ == Phase::KeptBody)
    return refuseRequest(ResultCode::RequestTimeout);
  if (PieceHandler_)
    giveUpCall(ResultCode::RequestTimeout);
}

} // namespace cumingauge::adapters
