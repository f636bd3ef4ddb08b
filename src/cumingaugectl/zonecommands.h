#pragma once

#include "changecommands.h"
#include "context.h"
#include <string>

/// The `zone` commands.
namespace cumingauge::ctl {

/// Lists the availability zones with their servers and whether they are
/// evacuated.
CommandResult listZones(const Context &Ctx);

/// Takes the servers of a zone out of use. With \p Wait, returns only once that
/// is in force on every VM, or fails with WaitTimedOut.
CommandResult evacuateZone(const Context &Ctx, const std::string &Zone,
                           const SubmitOptions &Options, bool Wait);

/// Takes the servers of an evacuated zone back into use.
CommandResult returnZone(const Context &Ctx, const std::string &Zone,
                         const SubmitOptions &Options);

} // namespace cumingauge::ctl
