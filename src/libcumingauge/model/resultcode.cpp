#include "model/resultcode.h"

namespace cumingauge::model {

std::string_view nameOf(ResultCode Code) {
  return boost::describe::enum_to_string(Code, "Unnamed");
}

bool isNotRun(ResultCode Code) {
  const int Number = static_cast<int>(Code);
  return Number >= 100 && Number < 130;
}

bool isOutcomeUnknown(ResultCode Code) {
  const int Number = static_cast<int>(Code);
  return Number >= 130 && Number < 150;
}

unsigned httpStatusOf(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
    return 200;
  case ResultCode::UnknownDeadline:
    return 504;
  case ResultCode::UnknownConnectionLost:
  case ResultCode::UnknownAnswerBroken:
  case ResultCode::UnknownAnswerMalformed:
    return 502;
  case ResultCode::RequestMalformed:
  case ResultCode::RequestLengthConflict:
    return 400;
  case ResultCode::RequestKeyMissing:
  case ResultCode::RequestKeyUnknown:
    return 401;
  case ResultCode::RequestHeadersTooLarge:
    return 431;
  case ResultCode::RequestBodyTooLarge:
    return 413;
  case ResultCode::RequestTimeout:
    return 408;
  case ResultCode::RequestNoRoute:
    return 404;
  case ResultCode::RequestExpectationUnknown:
    return 417;
  case ResultCode::NotRunQuota:
    return 429;
  default:
    return isNotRun(Code) ? 503 : 500;
  }
}

} // namespace cumingauge::model
