#pragma once

#include "emulator/loadplan.h"
#include "emulator/verdict.h"
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cumingauge::emulator {

/// Journal entries by server and sequence number; the latest word on each.
using JournalTable =
    std::map<std::pair<std::string, std::uint64_t>, JournalEntry>;

/// Adds the entries of JSON lines whose call starts with \p CallPrefix.
/// Returns false when a line cannot be read; the others still count.
bool addJournalLines(const std::string &Lines, const std::string &CallPrefix,
                     JournalTable &Table);

/// Adds all that a source tells. Returns false when it cannot be reached, or
/// says that it has dropped entries.
bool readJournal(const JournalSource &Source, const std::string &CallPrefix,
                 JournalTable &Table);

/// Probes that each server of a source has counted so far.
std::map<std::string, std::uint64_t> readProbes(const JournalSource &Source);

RunsByCall runsByCall(const JournalTable &Table);

} // namespace cumingauge::emulator
