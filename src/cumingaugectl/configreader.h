#pragma once

#include "context.h"
#include "control/statereader.h"
#include "storecalls.h"

namespace cumingauge::ctl {

/// Reads the configuration from the store. Fails with a CtlError.
boost::leaf::result<control::StateReader> readConfig(StoreCalls &Store,
                                                     const CtlSettings &Limits);

} // namespace cumingauge::ctl
