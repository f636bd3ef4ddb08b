#pragma once

#include "blockingstoreclient.h"
#include "context.h"
#include "control/statereader.h"

namespace cumingauge::ctl {

/// Reads snapshot and log entries from the store, retrying until
/// CtlSettings::ChangeTimeout_ is over. Fails with a CtlError.
boost::leaf::result<control::StateReader> readConfig(BlockingStoreClient &Store,
                                                     const CtlSettings &Limits);

} // namespace cumingauge::ctl
