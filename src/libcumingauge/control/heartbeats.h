#pragma once

#include "control/core.h"

/// Heartbeats on the peer links. A heartbeat that comes back as an echo
/// proves that the peer's version was read after the echoed one was sent.
namespace cumingauge::control {

struct CoreState;
struct Link;

/// \param AnswerNow asks the peer to answer without delay.
void sendHeartbeat(CoreState &State, Link &To, bool AnswerNow);

/// Sends heartbeats on all links when they are due.
void sendDueHeartbeats(CoreState &State);

/// Sends heartbeats on all links at once and asks for answers.
void sendHeartbeatsNow(CoreState &State);

void handleHeartbeat(CoreState &State, Link &From, const Heartbeat &Message);

/// Forgets heartbeats under way, so that what was sent before a pause proves
/// nothing after it.
void discardSentHeartbeats(CoreState &State);

} // namespace cumingauge::control
