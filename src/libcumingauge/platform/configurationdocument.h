#pragma once

#include "ports/directory.h"
#include <optional>
#include <string_view>

namespace cumingauge::platform {

/// Reads the operators' configuration.
/// \param Base gives the policy values, which the document does not hold.
/// \param Found gets routes and services that cannot be read; they are left
/// out. Nothing is returned when the document as a whole cannot be read.
std::optional<ports::ListedConfiguration>
readConfiguration(std::string_view Document, const model::Preset &Base,
                  model::Problems &Found);

} // namespace cumingauge::platform
