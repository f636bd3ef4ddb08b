#pragma once

#include "traffic/dialect.h"

namespace cumingauge::adapters {

/// Returns the dialect with cumingauge's own header fields, which
/// traffic/headers.h lists.
const traffic::Dialect &nativeDialect();

} // namespace cumingauge::adapters
