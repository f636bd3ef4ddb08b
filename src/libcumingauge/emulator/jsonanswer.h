#pragma once

#include "codec/describedjson.h"
#include "emulator/httpmessage.h"

namespace cumingauge::emulator {

/// Returns an answer with a plain text body.
inline HttpAnswer textAnswer(unsigned Status, std::string Body) {
  HttpAnswer Out;
  Out.Status_ = Status;
  Out.Fields_ = {{"Content-Type", "text/plain"}};
  Out.Body_ = std::move(Body);
  return Out;
}

/// Returns an answer with a JSON body.
inline HttpAnswer jsonAnswer(unsigned Status, const codec::Json &Body) {
  HttpAnswer Out;
  Out.Status_ = Status;
  Out.Fields_ = {{"Content-Type", "application/json"}};
  Out.Body_ = Body.dump();
  return Out;
}

} // namespace cumingauge::emulator
