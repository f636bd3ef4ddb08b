#pragma once

#include "ports/directory.h"
#include <optional>
#include <string>

namespace cumingauge::platform {

/// Parses the entry that a backend server has registered in the metadata store.
/// Returns nothing when a field is missing or has another type: such an entry
/// was written by another program and describes no backend server. \param Id id
/// of the server: the last part of the key of the entry.
std::optional<ports::ListedServer> readServerEntry(const std::string &Id,
                                                   std::string_view Document);

} // namespace cumingauge::platform
