#pragma once

#include "control/core.h"
#include "control/membertable.h"

/// Who takes part in the fleet: suspicion, refutation, death, return, and the
/// spreading of news about it.
namespace cumingauge::control {

struct CoreState;
struct Link;

/// Merges news about one member and passes it on when it changed anything.
void applyMember(CoreState &State, const model::Member &News);

void handleMemberUpdate(CoreState &State, Link &From,
                        const MemberUpdate &Message);

/// Sends all that is known of the members.
void sendMemberTable(CoreState &State, Link &To);

/// Suspects the peer of a link that fell silent, closed or failed to open.
void suspect(CoreState &State, const std::string &Process);

/// Suspects silent peers, declares suspects dead whose time has run out, and
/// sends the news of this step. To be called at every tick.
void detectFailures(CoreState &State);

/// Sends the whole table when the peer's digest has differed for a while.
void compareMembers(CoreState &State, Link &From, std::uint32_t Digest);

/// Tells the peers what has changed since the last call.
void sendMemberUpdates(CoreState &State);

/// Tells the fleet that this process leaves.
void announceLeave(CoreState &State);

} // namespace cumingauge::control
