#include "adapters/bufferedanswer.h"
#include "adapters/httpcall.h"
#include <algorithm>

namespace cumingauge::adapters {

namespace {

/// Bytes of an answer after which reading pauses until the answer may be sent.
/// Several answers of usual size fit in; the limit keeps a caller from filling
/// the memory by pipelining.
constexpr std::size_t MaxBufferedBytes = 65536;

} // namespace

BufferedAnswer::BufferedAnswer(const boost::asio::any_io_executor &Executor,
                               CallerMemory &Memory)
    : Timer_(Executor), Memory_(Memory) {
  Memory_.set(MaxBufferedBytes);
}

BufferedAnswer::~BufferedAnswer() = default;

void BufferedAnswer::start(std::shared_ptr<HttpCall> Call) {
  Call_ = std::move(Call);
  const auto Started = Call_;
  Started->start();
}

void BufferedAnswer::cancel() {
  Timer_.cancel();
  Resume_ = nullptr;
  const auto Call = std::move(Call_);
  Call_ = nullptr;
  if (Call)
    Call->onCallerLeft();
}

void BufferedAnswer::forwardTo(const std::shared_ptr<CallerChannel> &To) {
  Timer_.cancel();
  const auto Self = shared_from_this();
  if (Call_)
    Call_->answerTo(To);
  if (Code_)
    To->answer(*Code_, RetryAfter_);
  if (Head_)
    To->forwardHead(*Head_);
  if (HasBody_)
    // The piece is written from Body_, so the handler keeps this object alive.
    To->forwardBody(Body_, Last_, [Self, Resume = std::move(Resume_)] {
      if (Resume)
        Resume();
    });
  if (Aborted_)
    return To->abortAnswer();
  if (!Call_)
    To->onCallEnded();
}

void BufferedAnswer::answer(model::ResultCode Code,
                            model::milliseconds RetryAfter) {
  Code_ = Code;
  RetryAfter_ = RetryAfter;
}

void BufferedAnswer::forwardHead(const traffic::AnswerHead &Head) {
  Head_ = Head;
}

bool BufferedAnswer::forwardBody(std::string_view Bytes, bool Last,
                                 std::function<void()> Done) {
  Body_.append(Bytes);
  Memory_.set(std::max(Body_.capacity(), MaxBufferedBytes));
  HasBody_ = true;
  Last_ = Last;
  if (Last)
    return true;
  if (Body_.size() < MaxBufferedBytes)
    Done();
  else
    Resume_ = std::move(Done);
  return false;
}

void BufferedAnswer::abortAnswer() { Aborted_ = true; }

void BufferedAnswer::readMoreBody(PieceHandler) {
  // Never called: only calls whose request was read whole are started early.
}

void BufferedAnswer::onCallEnded() {
  Timer_.cancel();
  Call_ = nullptr;
  Memory_.set(sizeof(BufferedAnswer) + Body_.capacity());
}

void BufferedAnswer::setTimer(model::TimePoint When) {
  Timer_.expires_at(When);
  Timer_.async_wait([Weak = weak_from_this()](boost::system::error_code Error) {
    const auto Self = Weak.lock();
    if (!Error && Self && Self->Call_) {
      const auto Call = Self->Call_;
      Call->onTimer(std::chrono::steady_clock::now());
    }
  });
}

} // namespace cumingauge::adapters
