#pragma once

#include "control/changelog.h"
#include "control/core.h"
#include <optional>
#include <vector>

/// Spreads change log entries and states over the peer links.
namespace cumingauge::control {

struct CoreState;
struct Link;

/// Applies entries from a link, or from the store when there is none, and
/// passes new ones on.
Offer applyEntries(CoreState &State, const std::vector<model::Change> &Entries,
                   std::optional<LinkId> From);

/// Replaces the state by a whole one unless that is older.
/// \returns true when it was taken.
bool applyState(CoreState &State, model::ConfigState Loaded,
                const std::vector<model::Change> &Entries,
                const std::string &Source);

void handleEntriesRequest(CoreState &State, Link &From,
                          const EntriesRequest &Message);
void handleStateChunk(CoreState &State, Link &From, const StateChunk &Message);

/// Compares versions after a heartbeat and asks for what is missing.
void compareVersions(CoreState &State, Link &From, const Heartbeat &Message);

/// Asks a peer that shows a higher version, and gives up on one that does not
/// answer. To be called at every tick.
void requestMissingEntries(CoreState &State);

/// Moves the time of the last exchange on by what the links have shown.
void updateLastExchange(CoreState &State);

/// Reports that contents disagree and has the store decide.
void reportDisagreement(CoreState &State, const std::string &Source,
                        std::uint64_t Version);

} // namespace cumingauge::control
