#pragma once

#include "emulator/httpmessage.h"
#include "emulator/slots.h"
#include <string>

/// Builds the answers of an emulated backend server.
namespace cumingauge::emulator {

/// Returns the complete answer to a call, with \p Bytes of the body that
/// belongs to this call only.
HttpAnswer callAnswer(const std::string &Call, std::uint64_t Bytes,
                      bool Chunked);

/// Returns an answer which states that the call did not run, and why.
HttpAnswer refusalAnswer(Admission Reason);

/// Returns the answer to GET /load, or to GET /health, which fails while the
/// server drains.
HttpAnswer probeAnswer(bool Health, const model::LoadReport &Report);

/// Adds the header fields with the call id, the VM of the server and the load
/// report.
void addIdentity(HttpAnswer &Answer, const std::string &Call,
                 const std::string &Vm, const model::LoadReport &Report);

/// Truncates the answer at half of its body, or has it sent twice, with the
/// probabilities of \p Config. Returns true when it is truncated.
bool injectAnswerFault(HttpAnswer &Answer, const Behaviour &Config,
                       pcg32 &Random);

} // namespace cumingauge::emulator
