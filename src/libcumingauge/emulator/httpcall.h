#pragma once

#include "model/time.h"
#include <cstdint>
#include <optional>
#include <string>

namespace cumingauge::emulator {

/// One blocking request on a connection of its own, for control and insight.
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

/// Nothing when no whole answer arrived in time.
std::optional<HttpReply> callHttp(const HttpCall &Call);

} // namespace cumingauge::emulator
