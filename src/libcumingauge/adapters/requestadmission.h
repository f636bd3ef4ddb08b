#pragma once

#include "model/resultcode.h"
#include "model/route.h"
#include "traffic/workspacekeys.h"
#include <cstdint>
#include <memory>

namespace cumingauge::adapters {

/// Route of a request and its caller's identity, or why it is refused.
struct RequestAdmission {
  std::shared_ptr<const model::Route> Route_; ///< null: refused
  model::ResultCode Reason_ = model::ResultCode::Ok;
  traffic::CallerIdentity Identity_;
  std::uint64_t ConfigVersion_ = 0; ///< configuration that admits it
};

} // namespace cumingauge::adapters
