#include "traffic/outcomes.h"
#include <algorithm>

namespace cumingauge::traffic {

using model::ResultCode;

namespace {

constexpr unsigned StatusServiceUnavailable = 503;

ResultCode unknownCode(AttemptState State) {
  switch (State) {
  case AttemptState::Lost:
    return ResultCode::UnknownConnectionLost;
  case AttemptState::Malformed:
    return ResultCode::UnknownAnswerMalformed;
  case AttemptState::Forwarding:
    return ResultCode::UnknownAnswerBroken;
  default:
    return ResultCode::UnknownDeadline;
  }
}

} // namespace

bool isLive(AttemptState State) {
  return State == AttemptState::Connecting || State == AttemptState::Sent ||
         State == AttemptState::Forwarding;
}

bool mayHaveRun(AttemptState State) {
  return State != AttemptState::Connecting && State != AttemptState::NotSent &&
         State != AttemptState::Withdrawn &&
         State != AttemptState::DeclaredNotRun;
}

bool canRetry(const CallRules &Rules, AttemptState State) {
  switch (State) {
  case AttemptState::NotSent:
  case AttemptState::Withdrawn:
    return true;
  case AttemptState::DeclaredNotRun:
    return Rules.Replayable_;
  case AttemptState::Lost:
  case AttemptState::Malformed:
  case AttemptState::ServerError:
    return Rules.Idempotent_ && Rules.Replayable_;
  default:
    return false;
  }
}

ResultCode failureCode(const std::vector<AttemptState> &States,
                       ResultCode NotRunReason) {
  const auto Unknown = std::find_if(States.rbegin(), States.rend(), mayHaveRun);
  return Unknown == States.rend() ? NotRunReason : unknownCode(*Unknown);
}

bool isNotRunAnswer(unsigned Status, std::string_view NotRunField) {
  return Status == StatusServiceUnavailable && !NotRunField.empty();
}

bool isAnswerTo(std::string_view CallId, std::string_view RepeatedCallId) {
  return RepeatedCallId.empty() || RepeatedCallId == CallId;
}

} // namespace cumingauge::traffic
