#pragma once

#include "model/problem.h"
#include "model/resultcode.h"
#include <string>

namespace cumingauge::ctl {

/// Error of a command. Its code becomes the exit status of the program.
struct CtlError {
  model::ResultCode Code_ = model::ResultCode::InternalError;
  std::string Message_;
  model::Problems Problems_;
};

} // namespace cumingauge::ctl
