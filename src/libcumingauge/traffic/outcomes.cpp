#include "traffic/outcomes.h"
#include <algorithm>

namespace cumingauge::traffic {

using model::ResultCode;

namespace {

constexpr unsigned StatusServiceUnavailable = 503;

ResultCode unknownCode(AttemptFate Fate) {
  switch (Fate) {
  case AttemptFate::Lost:
    return ResultCode::UnknownConnectionLost;
  case AttemptFate::Malformed:
    return ResultCode::UnknownAnswerMalformed;
  case AttemptFate::Forwarding:
    return ResultCode::UnknownAnswerBroken;
  default:
    return ResultCode::UnknownDeadline;
  }
}

} // namespace

bool isLive(AttemptFate Fate) {
  return Fate == AttemptFate::Connecting || Fate == AttemptFate::Sent ||
         Fate == AttemptFate::Forwarding;
}

bool mayHaveRun(AttemptFate Fate) {
  return Fate != AttemptFate::Connecting && Fate != AttemptFate::NotSent &&
         Fate != AttemptFate::DeclaredNotRun;
}

bool mayTryAgain(const CallRules &Rules, AttemptFate Fate) {
  switch (Fate) {
  case AttemptFate::NotSent:
    return true;
  case AttemptFate::DeclaredNotRun:
    return Rules.Replayable_;
  case AttemptFate::Lost:
  case AttemptFate::Malformed:
  case AttemptFate::ServerError:
    return Rules.Idempotent_ && Rules.Replayable_;
  default:
    return false;
  }
}

ResultCode failureCode(const std::vector<AttemptFate> &Fates,
                       ResultCode NotRunReason) {
  const auto Unknown = std::find_if(Fates.rbegin(), Fates.rend(), mayHaveRun);
  return Unknown == Fates.rend() ? NotRunReason : unknownCode(*Unknown);
}

bool isNotRunAnswer(unsigned Status, std::string_view NotRunField) {
  return Status == StatusServiceUnavailable && !NotRunField.empty();
}

bool isAnswerTo(std::string_view CallId, std::string_view RepeatedCallId) {
  return RepeatedCallId.empty() || RepeatedCallId == CallId;
}

} // namespace cumingauge::traffic
