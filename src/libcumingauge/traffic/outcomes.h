#pragma once

#include "model/resultcode.h"
#include <boost/describe.hpp>
#include <string_view>
#include <vector>

/// The rules on what a caller may be told, in one place.
namespace cumingauge::traffic {

/// How far one attempt got.
enum class AttemptFate {
  Connecting,     ///< no byte of the call has left this process so far
  Sent,           ///< bytes may have left; nothing was heard yet
  Forwarding,     ///< its answer is being passed to the caller
  NotSent,        ///< ended before any byte left
  DeclaredNotRun, ///< the server said that it did not run the call
  Lost,           ///< bytes left, the connection ended without whole answer
  Malformed,      ///< bytes left, the answer could not be parsed
  Abandoned,      ///< bytes left, this process gave up waiting
  ServerError,    ///< whole answer, an error that is not passed on
  Answered,       ///< whole answer
};
BOOST_DESCRIBE_ENUM(AttemptFate, Connecting, Sent, Forwarding, NotSent,
                    DeclaredNotRun, Lost, Malformed, Abandoned, ServerError,
                    Answered)

/// True while an attempt can still bring an answer.
bool isLive(AttemptFate Fate);

/// False only when it is certain that the server did not run the call.
bool mayHaveRun(AttemptFate Fate);

/// What decides on further attempts.
struct CallRules {
  bool Idempotent_ = false;
  bool Replayable_ = true; ///< the whole request body is kept
};

/// Whether a call may go to another server after an attempt ended like this.
bool mayTryAgain(const CallRules &Rules, AttemptFate Fate);

/// The code that a caller gets when no answer can be passed on.
/// \param Fates all attempts of the call, oldest first.
/// \param NotRunReason code to give when the call certainly did not run.
model::ResultCode failureCode(const std::vector<AttemptFate> &Fates,
                              model::ResultCode NotRunReason);

/// Whether an answer states that the call did not run.
/// \param NotRunField value of the header field X-Not-Run, or empty.
bool isNotRunAnswer(unsigned Status, std::string_view NotRunField);

/// Whether an answer is that to a call, as far as it can be told: a server may
/// repeat the call id, and a doubled or late answer then shows.
bool isAnswerTo(std::string_view CallId, std::string_view RepeatedCallId);

} // namespace cumingauge::traffic
