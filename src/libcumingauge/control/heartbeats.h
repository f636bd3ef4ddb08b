#pragma once

#include "control/core.h"

/// Heartbeats on the peer links. A heartbeat that the peer echoes proves that
/// the peer's version was read after the echoed heartbeat was sent.
namespace cumingauge::control {

struct CoreState;
struct Link;

/// Sends a heartbeat on one link.
/// \param AnswerNow requests a heartbeat from the peer without delay.
void sendHeartbeat(CoreState &State, Link &To, bool AnswerNow);

/// Sends heartbeats on all peer links when they are due.
void sendDueHeartbeats(CoreState &State);

/// Sends heartbeats on all peer links at once and requests replies without
/// delay.
void sendHeartbeatsNow(CoreState &State);

/// Processes a peer's heartbeat: its echo, version and members digest.
void handleHeartbeat(CoreState &State, Link &From, const Heartbeat &Message);

/// Discards the list of sent heartbeats, so that an echo of one sent before a
/// pause proves nothing after it.
void discardSentHeartbeats(CoreState &State);

} // namespace cumingauge::control
