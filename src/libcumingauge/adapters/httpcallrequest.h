#pragma once

#include "model/route.h"
#include "model/time.h"
#include "traffic/messagehead.h"
#include "traffic/workspacekeys.h"
#include <cstdint>
#include <memory>
#include <string>

namespace cumingauge::adapters {

/// A request as HttpCallerSession has read it.
struct HttpCallRequest {
  traffic::RequestHead Head_;
  std::shared_ptr<const model::Route> Route_;
  std::string KeptBody_;     ///< the body or its beginning, kept for retries
  bool BodyComplete_ = true; ///< false: the rest is requested piece by piece
  std::string Caller_;       ///< whose quota the call uses
  traffic::CallerIdentity Identity_;
  std::uint64_t ConfigVersion_ = 0; ///< configuration that admitted it
  bool Pipelined_ = false; ///< arrived while an earlier call was unanswered
  model::TimePoint Arrived_;
  model::TimePoint Deadline_;
  /// Deadline of an answer that has begun to arrive.
  model::TimePoint AnswerDeadline_;
};

} // namespace cumingauge::adapters
