#pragma once

#include "model/time.h"
#include <cstdint>
#include <optional>
#include <string>

namespace cumingauge::emulator {

/// A request that is sent on its own connection, to read or control an emulated
/// service.
struct HttpCall {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  std::string Method_ = "GET";
  std::string Target_ = "/";
  std::string Body_;
  model::milliseconds Timeout_{5000};
};

struct HttpReply {
  unsigned Status_ = 0;
  std::string Body_;
};

/// Sends the request and returns the answer; nothing when no complete answer
/// arrived within the timeout. Blocks.
std::optional<HttpReply> callHttp(const HttpCall &Call);

} // namespace cumingauge::emulator
