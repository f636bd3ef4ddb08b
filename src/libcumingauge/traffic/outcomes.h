#pragma once

#include "model/resultcode.h"
#include <boost/describe.hpp>
#include <string_view>
#include <vector>

/// Rules that decide which result code a caller gets and when a call may be
/// retried.
namespace cumingauge::traffic {

/// State of one attempt; the first three are those of a live attempt.
enum class AttemptState {
  Connecting,     ///< no byte of the call was sent yet
  Sent,           ///< bytes may have been sent; no answer yet
  Forwarding,     ///< its answer is being passed on to the caller
  NotSent,        ///< ended before any byte was sent
  Withdrawn,      ///< the same, since the call may not go there any more
  DeclaredNotRun, ///< the server stated that it did not run the call
  Lost,           ///< sent, but the connection ended too early
  Malformed,      ///< sent, but the answer could not be parsed
  Abandoned,      ///< sent, but this process stopped waiting
  ServerError,    ///< complete error answer, not passed on
  Answered,       ///< complete answer
};
BOOST_DESCRIBE_ENUM(AttemptState, Connecting, Sent, Forwarding, NotSent,
                    Withdrawn, DeclaredNotRun, Lost, Malformed, Abandoned,
                    ServerError, Answered)

/// Returns whether an attempt in this state can still deliver an answer.
bool isLive(AttemptState State);

/// Returns false only when it is certain that the server did not run the call.
bool mayHaveRun(AttemptState State);

/// Properties of a call that decide whether it may be retried.
struct CallRules {
  bool Idempotent_ = false;
  bool Replayable_ = true; ///< the whole request body is kept in memory
};

/// Returns whether a call may be sent again after an attempt ended like this.
bool canRetry(const CallRules &Rules, AttemptState State);

/// Returns the result code of a call for which no answer can be passed on: an
/// Unknown code as soon as one attempt may have run.
/// \param States of all attempts of the call, oldest first.
/// \param NotRunReason code to return when the call certainly did not run.
model::ResultCode failureCode(const std::vector<AttemptState> &States,
                              model::ResultCode NotRunReason);

/// Returns whether an answer states that the call did not run.
/// \param NotRunField value of the header field X-Not-Run, or empty.
bool isNotRunAnswer(unsigned Status, std::string_view NotRunField);

/// Returns whether an answer belongs to a call, as far as can be known.
/// Repeating the call id is optional for servers; if it is repeated, a
/// duplicate or late answer to another call is detected.
bool isAnswerTo(std::string_view CallId, std::string_view RepeatedCallId);

} // namespace cumingauge::traffic
