#pragma once

#include "daemonsettings.h"

namespace cumingauge::daemon {

/// Runs the entry process until SIGTERM or SIGINT.
/// \returns the exit status.
int runDaemon(const DaemonSettings &Settings);

} // namespace cumingauge::daemon
