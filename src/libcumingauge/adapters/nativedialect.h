#pragma once

#include "traffic/dialect.h"

namespace cumingauge::adapters {

/// The fields of the product itself, see traffic/headers.h.
const traffic::Dialect &nativeDialect();

} // namespace cumingauge::adapters
