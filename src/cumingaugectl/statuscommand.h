#pragma once

#include "context.h"

namespace cumingauge::ctl {

/// `status`: prints the state of every entry VM and whether leaving servers can
/// be switched off. Queries the entry processes, not the store.
CommandResult showStatus(const Context &Ctx);

} // namespace cumingauge::ctl
