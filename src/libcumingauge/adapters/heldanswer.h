#pragma once

#include "adapters/callerside.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace cumingauge::adapters {

class HttpCall;

/// Takes the answer of a pipelined call that runs beside the ones before it on
/// its connection, until all of these have been answered.
class HeldAnswer : public CallerSide,
                   public std::enable_shared_from_this<HeldAnswer> {
public:
  explicit HeldAnswer(const boost::asio::any_io_executor &Executor);
  ~HeldAnswer() override;

  /// Starts the call, which answers here.
  void start(std::shared_ptr<HttpCall> Call);

  /// Ends the call, for a caller that has gone.
  void drop();

  /// The call, until it has ended.
  const std::shared_ptr<HttpCall> &call() const { return Call_; }

  /// Passes on what the call has given so far. What follows goes to \p To.
  void release(const std::shared_ptr<CallerSide> &To);

  void answer(model::ResultCode Code) override;
  void forwardHead(const traffic::AnswerHead &Head) override;
  bool forwardBody(std::string_view Bytes, bool Last,
                   std::function<void()> Done) override;
  void breakOff() override;
  void pullBody(PieceHandler Handler) override;
  void endCall() override;
  void setAlarm(model::TimePoint When) override;

private:
  boost::asio::steady_timer Timer_;
  std::shared_ptr<HttpCall> Call_;
  std::optional<model::ResultCode> Code_;
  std::optional<traffic::AnswerHead> Head_;
  std::string Body_;
  bool BodyGiven_ = false;
  bool Last_ = false; ///< the body is whole
  bool Broken_ = false;
  std::function<void()> Resume_; ///< of a body that is too long to be held
};

} // namespace cumingauge::adapters
