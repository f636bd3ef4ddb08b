#pragma once

#include "traffic/dialect.h"

namespace cumingauge::platform {

/// The header fields of the platform's clients and targets.
const traffic::Dialect &platformDialect();

/// Reads "running,waiting,slots" with the machine's pace as an optional fourth
/// figure. Nothing when it is malformed.
std::optional<model::LoadReport> readServerLoad(std::string_view Text);

} // namespace cumingauge::platform
