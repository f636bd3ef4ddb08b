#pragma once

#include "model/problem.h"
#include "model/resultcode.h"
#include <string>

namespace cumingauge::ctl {

/// Why a command did not do what was asked. Its code is the exit status.
struct CtlError {
  model::ResultCode Code_ = model::ResultCode::InternalError;
  std::string Message_;
  model::Problems Problems_;
};

} // namespace cumingauge::ctl
