#pragma once

#include "emulator/loadplan.h"
#include "emulator/verdict.h"
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cumingauge::emulator {

/// Journal entries by server and sequence number, in their latest state.
using JournalTable =
    std::map<std::pair<std::string, std::uint64_t>, JournalEntry>;

/// Adds the entries of JSON lines whose call id starts with \p CallPrefix.
/// Returns false when a line is malformed; the other lines are still added.
bool addJournalLines(const std::string &Lines, const std::string &CallPrefix,
                     JournalTable &Table);

/// Adds the entries of a source whose call id starts with \p CallPrefix.
/// Returns false when the source cannot be read or has dropped entries.
bool readJournal(const JournalSource &Source, const std::string &CallPrefix,
                 JournalTable &Table);

/// Returns the number of probes that each server of a source has counted so
/// far; nothing for a source that is a file only.
std::map<std::string, std::uint64_t> readProbes(const JournalSource &Source);

/// Groups the entries by call id.
RunsByCall runsByCall(const JournalTable &Table);

} // namespace cumingauge::emulator
