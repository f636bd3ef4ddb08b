#pragma once

#include "context.h"

namespace cumingauge::ctl {

/// `status`: every entry VM, and whether leaving servers can be switched off.
/// Asks the entry processes, not the store.
CommandResult showStatus(const Context &With);

} // namespace cumingauge::ctl
