// What a caller's connection holds, and how it is evicted.
#include "adapters/httpcall.h"
#include "adapters/httpcallersession.h"
#include "adapters/httpworker.h"

namespace cumingauge::adapters {

using model::ResultCode;
using policy::CallerUse;
using traffic::ConnectionEnd;

namespace {

/// Taken by each open connection: the session, its socket and timer.
constexpr std::size_t ConnectionBytes = 3072;
/// Bytes that the kernel may take for a connection of which nothing is read.
constexpr std::size_t UnreadBytes = 65536;
/// Larger buffers of answers are released when they have been written.
constexpr std::size_t KeptOutputBytes = 2048;

} // namespace

CallerUse HttpCallerSession::use() const {
  if (Phase_ == Phase::Closing || Phase_ == Phase::Closed || ClosingIdle_)
    return CallerUse::Closing;
  if (Phase_ == Phase::KeptBody)
    return CallerUse::Unfinished;
  if (Phase_ == Phase::Head)
    return Reader_.hasPartialRequest() ? CallerUse::Unfinished
                                       : CallerUse::Idle;
  if (WriteInProgress_)
    return CallerUse::Unread;
  return RequestComplete_ || AnswerStarted_ ? CallerUse::Running
                                            : CallerUse::Upload;
}

policy::CallerHolding HttpCallerSession::holding() const {
  std::uint64_t Bytes = Memory_.bytes();
  if (Call_)
    Bytes += Call_->heldBytes();
  for (const PipelinedCall &Waiting : PipelinedCalls_) {
    Bytes += Waiting.Answer_->heldBytes();
    if (const auto Call = Waiting.Answer_->call())
      Bytes += Call->heldBytes();
  }
  const CallerUse Use = use();
  // A body that trickles in is no reason to wait longer for its end.
  const model::TimePoint Since =
      Use == CallerUse::Unfinished ? RequestSince_ : WaitsSince_;
  return {Use, Bytes, Worker_.now() - Since};
}

bool HttpCallerSession::isReadingPaused() const {
  const bool EndsAfterAnswer = AnswerComplete_ && !KeepAlive_;
  return Phase_ == Phase::Call && !ReadInProgress_ && !EndsAfterAnswer;
}

void HttpCallerSession::updateMemory() {
  std::uint64_t Bytes = ConnectionBytes + Reader_.heldBytes() +
                        Outgoing_.capacity() + WriteBuffer_.capacity() +
                        WrittenPieceBytes_;
  if (Incoming_)
    Bytes += Incoming_->KeptBody_.capacity();
  if (isReadingPaused())
    Bytes += UnreadBytes;
  Memory_.set(Bytes);
  Worker_.checkCallerMemory();
}

void HttpCallerSession::releaseOutput() {
  if (Outgoing_.capacity() > KeptOutputBytes && Outgoing_.empty())
    Outgoing_ = std::string();
  if (WriteBuffer_.capacity() > KeptOutputBytes)
    WriteBuffer_ = std::string();
}

void HttpCallerSession::evict(ResultCode Code) {
  const ConnectionEnd End = Code == ResultCode::NotRunMemory
                                ? ConnectionEnd::Memory
                                : ConnectionEnd::Descriptors;
  switch (use()) {
  case CallerUse::Idle:
    // A connection that waits for the first view may hold a request.
    return ReadInProgress_ ? closeIdle(End) : refuseRequest(Code);
  case CallerUse::Unfinished:
    return refuseRequest(Code);
  case CallerUse::Upload:
    return giveUpCall(Code);
  case CallerUse::Running:
    if (AnswerStarted_)
      return reset(End);
    KeepAlive_ = false;
    return giveUpCall(Code);
  case CallerUse::Unread:
  case CallerUse::Closing:
    return reset(End);
  }
}

std::shared_ptr<HttpCall>
HttpCallerSession::stalledUpload(model::Duration Stall) const {
  const bool IsStalled = PieceHandler_ && use() == CallerUse::Upload &&
                         Worker_.now() - WaitsSince_ >= Stall;
  return IsStalled ? Call_ : nullptr;
}

} // namespace cumingauge::adapters
