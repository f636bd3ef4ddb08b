#pragma once

#include "emulator/httpmessage.h"
#include "emulator/slots.h"
#include <string>

/// The answers of a backend server as plain values.
namespace cumingauge::emulator {

/// The whole answer to a call: a body that only this call can have.
HttpAnswer callAnswer(const std::string &Call, std::uint64_t Bytes,
                      bool Chunked);

/// Says that the call did not run, and why.
HttpAnswer refusalAnswer(Admission Reason);

/// Answer to GET /load, or to GET /health, which fails while draining.
HttpAnswer probeAnswer(bool Health, const model::LoadReport &Report);

/// Adds who answers which call, and the load report.
void addIdentity(HttpAnswer &Answer, const std::string &Call,
                 const std::string &Vm, const model::LoadReport &Report);

/// Breaks off the answer half way or doubles it, as the draws tell. True when
/// it is broken off.
bool injectAnswerFault(HttpAnswer &Answer, const Behaviour &Config,
                       pcg32 &Random);

} // namespace cumingauge::emulator
