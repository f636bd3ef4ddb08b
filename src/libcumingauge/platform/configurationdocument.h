#pragma once

#include "ports/directory.h"
#include <optional>
#include <string_view>

namespace cumingauge::platform {

/// Parses the operators' configuration document.
/// \param Base policy values, which the document does not contain.
/// \param Found receives a problem for each route, workspace and key that
/// cannot be read; these are left out. \returns nothing when the document as a
/// whole cannot be read.
std::optional<ports::ListedConfiguration>
readConfiguration(std::string_view Document, const model::Preset &Base,
                  model::Problems &Found);

} // namespace cumingauge::platform
