#pragma once

#include "control/core.h"
#include "control/membertable.h"

/// Membership of the fleet: suspicion, refutation, death, return, and the
/// gossip about them.
namespace cumingauge::control {

struct CoreState;
struct Link;

/// Merges an update about one member into the table and passes it on when it
/// changed anything.
void applyMember(CoreState &State, const model::Member &Update);

/// Merges a peer's update. After a full table, replies with the members whose
/// record here is newer and with the live ones that the table lacks.
void handleMemberUpdate(CoreState &State, Link &From,
                        const MemberUpdate &Message);

/// Sends the whole member table to a peer.
void sendMemberTable(CoreState &State, Link &To);

/// Marks a live member as suspected because its link fell silent or could not
/// be opened.
void suspect(CoreState &State, const std::string &Process);

/// Suspects silent peers, declares suspects dead whose time to refute has run
/// out, and sends the member updates of this step. To be called at every tick.
void detectFailures(CoreState &State);

/// Compares a peer's members digest with the own one and sends the whole table
/// when they have differed for a while.
void compareMembers(CoreState &State, Link &From, std::uint32_t Digest);

/// Sends the peers the records of members that have changed since the last
/// call.
void sendMemberUpdates(CoreState &State);

/// Announces to the peers that this process leaves the fleet.
void announceLeave(CoreState &State);

} // namespace cumingauge::control
