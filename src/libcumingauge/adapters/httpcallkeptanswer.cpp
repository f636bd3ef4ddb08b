// The part of HttpCall that buffers an answer until it is whole, so that the
// call can be tried again if it breaks off or is a server error.
#include "adapters/httpcall.h"
#include "adapters/httpworker.h"
#include <utility>

namespace cumingauge::adapters {

using traffic::AttemptNumber;
using traffic::AttemptState;

/// Whether the answer is buffered until it is whole instead of streamed.
bool HttpCall::canKeepAnswer(const traffic::AnswerHead &Head) const {
  return Head.Length_ <= Worker_.limits().KeptAnswerBytes_ &&
         Worker_.limits().KeptAnswerBytes_ > 0;
}

/// Starts streaming an answer that has grown too long to be buffered.
void HttpCall::streamKeptAnswer(AttemptNumber Number) {
  apply(traffic::AnswerStarted{Number});
  const auto Connection = attempt(Number).Connection_;
  if (Forwarding_ != Number || !Connection)
    return;
  const auto Body = takeKeptAnswer(Number);
  Caller_->forwardBody(*Body, /*Last=*/false,
                       [Connection, Body] { Connection->resume(); });
}

/// Takes over the buffered body, which must outlive the call while it is being
/// written.
std::shared_ptr<const std::string>
HttpCall::takeKeptAnswer(AttemptNumber Number) {
  const auto Taken = std::make_shared<const std::string>(
      std::exchange(attempt(Number).KeptAnswer_, {}));
  updateMemory();
  return Taken;
}

/// Forwards a buffered answer that is now whole, or retries the call.
void HttpCall::finishKeptAnswer(AttemptNumber Number) {
  if (shouldRetryServerError(attempt(Number).Connection_->head())) {
    attempt(Number).KeptAnswer_.clear();
    RetryGranted_ = true;
    return onFailure(Number, AttemptState::ServerError);
  }
  apply(traffic::AnswerStarted{Number});
  if (Forwarding_ != Number)
    return;
  AnswerForwarded_ = true;
  const auto Body = takeKeptAnswer(Number);
  Caller_->forwardBody(*Body, /*Last=*/true, [Body] {});
}

} // namespace cumingauge::adapters
