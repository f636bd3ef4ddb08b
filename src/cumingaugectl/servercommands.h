#pragma once

#include "changecommands.h"
#include "context.h"
#include <string>

/// The `server` commands and `init`.
namespace cumingauge::ctl {

CommandResult listServers(const Context &Ctx);
CommandResult putServers(const Context &Ctx, const std::string &File,
                         const SubmitOptions &Options);

/// Marks a server as leaving. With \p Wait, returns only once no entry VM has a
/// call in flight at it, or fails with WaitTimedOut.
CommandResult leaveServer(const Context &Ctx, const std::string &Name,
                          SubmitOptions Options, bool Wait);

/// Removes the leaving mark of a server.
CommandResult returnServer(const Context &Ctx, const std::string &Name,
                           SubmitOptions Options);
CommandResult removeServer(const Context &Ctx, const std::string &Name,
                           const SubmitOptions &Options);

/// Writes the presets and servers of a deployment that are missing or differ
/// from the configuration, then puts its preset in force.
CommandResult initialize(const Context &Ctx, const std::string &File,
                         const SubmitOptions &Options);

} // namespace cumingauge::ctl
