#pragma once

#include "adapters/callerchannel.h"
#include "adapters/callermemory.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace cumingauge::adapters {

class HttpCall;

/// Buffers the answer of a pipelined call until all calls before it on the
/// connection have been answered.
class BufferedAnswer : public CallerChannel,
                       public std::enable_shared_from_this<BufferedAnswer> {
public:
  /// \param Memory sum of what callers' connections hold.
  BufferedAnswer(const boost::asio::any_io_executor &Executor,
                 CallerMemory &Memory);
  ~BufferedAnswer() override;

  /// Starts the call, which sends its answer to this object.
  void start(std::shared_ptr<HttpCall> Call);

  /// Ends the call because its caller closed the connection.
  void cancel();

  /// Returns the call, or null after it has ended.
  const std::shared_ptr<HttpCall> &call() const { return Call_; }

  /// Returns the bytes of memory that the answer takes; before it has arrived,
  /// those that it may take.
  std::uint64_t heldBytes() const { return Memory_.bytes(); }

  /// Passes on the part of the answer that is buffered. The call sends the rest
  /// to \p To itself.
  void forwardTo(const std::shared_ptr<CallerChannel> &To);

  void answer(model::ResultCode Code, model::milliseconds RetryAfter) override;
  void forwardHead(const traffic::AnswerHead &Head) override;
  bool forwardBody(std::string_view Bytes, bool Last,
                   std::function<void()> Done) override;
  void abortAnswer() override;
  void readMoreBody(PieceHandler Handler) override;
  void onCallEnded() override;
  void setTimer(model::TimePoint When) override;

private:
  boost::asio::steady_timer Timer_;
  MemoryShare Memory_;
  std::shared_ptr<HttpCall> Call_;
  std::optional<model::ResultCode> Code_;
  model::milliseconds RetryAfter_{0}; ///< with Code_
  std::optional<traffic::AnswerHead> Head_;
  std::string Body_;
  bool HasBody_ = false; ///< forwardBody was called
  bool Last_ = false;    ///< Body_ ends with the last byte of the answer
  bool Aborted_ = false; ///< the answer broke off
  std::function<void()> Resume_; ///< resumes reading of a body above the limit
};

} // namespace cumingauge::adapters
