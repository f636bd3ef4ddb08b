#pragma once

#include "traffic/dialect.h"

namespace cumingauge::platform {

/// Returns the header fields that the platform's callers and backend servers
/// use, and how their answers are interpreted.
const traffic::Dialect &platformDialect();

/// Parses the load report "running,waiting,slots[,pace]" of the header field
/// Server-Load. The pace of the VM is in percent, 100 when absent. Returns
/// nothing when the text is malformed.
std::optional<model::LoadReport> readServerLoad(std::string_view Text);

} // namespace cumingauge::platform
