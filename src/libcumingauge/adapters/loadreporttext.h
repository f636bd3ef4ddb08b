#pragma once

#include "model/loadreport.h"
#include <optional>
#include <string_view>

namespace cumingauge::adapters {

/// Parses a load report as backend servers send it: a JSON object with the
/// members of model::LoadReport. Unknown members are ignored.
/// \returns nullopt when the text is malformed or a member has the wrong type.
std::optional<model::LoadReport> parseLoadReport(std::string_view Text);

} // namespace cumingauge::adapters
