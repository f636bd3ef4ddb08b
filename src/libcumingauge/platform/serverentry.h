#pragma once

#include "ports/directory.h"
#include <optional>
#include <string>

namespace cumingauge::platform {

/// Reads the entry under which a backend server has registered itself.
/// Nothing when a field is missing or has another type: such an entry was
/// written by somebody else and names no server.
/// \param Id the last part of the entry's key.
std::optional<ports::ListedServer> readServerEntry(const std::string &Id,
                                                   std::string_view Document);

} // namespace cumingauge::platform
