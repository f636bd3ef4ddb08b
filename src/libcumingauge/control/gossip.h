#pragma once

#include "control/changelog.h"
#include "control/core.h"
#include <optional>
#include <vector>

/// Gossip of change log entries and states over the peer links.
namespace cumingauge::control {

struct CoreState;
struct Link;

/// Applies entries from a link, or from the store when \p From is empty, and
/// passes new ones on.
AppendResult applyEntries(CoreState &State,
                          const std::vector<model::Change> &Entries,
                          std::optional<LinkId> From);

/// Replaces the state by a complete one unless that is older.
/// \param Source name of the peer, or "store", for the event.
/// \returns true when the state was replaced.
bool applyState(CoreState &State, model::ConfigState Loaded,
                const std::vector<model::Change> &Entries,
                const std::string &Source);

/// Sends the requested entries, or the whole state when they are no longer
/// in memory.
void handleEntriesRequest(CoreState &State, Link &From,
                          const EntriesRequest &Message);
/// Adds a chunk of a state and applies the state when it is complete.
void handleStateChunk(CoreState &State, Link &From, const StateChunk &Message);

/// Compares the version and log digest in a heartbeat with the own ones and
/// requests missing entries.
void compareVersions(CoreState &State, Link &From, const Heartbeat &Message);

/// Requests missing entries from a peer that reports a higher version, and
/// gives up on a request that is not answered. To be called at every tick.
void requestMissingEntries(CoreState &State);

/// Advances the time of the last exchange to the latest heartbeat echoed by a
/// peer that has no newer version.
void updateLastExchange(CoreState &State);

/// Records an alarm that contents at one version differ, and requests that
/// the state is loaded from the store, which decides.
void reportDisagreement(CoreState &State, const std::string &Source,
                        std::uint64_t Version);

} // namespace cumingauge::control
