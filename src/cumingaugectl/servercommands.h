#pragma once

#include "changecommands.h"
#include "context.h"
#include <string>

/// The `server` commands and `init`.
namespace cumingauge::ctl {

CommandResult listServers(const Context &With);
CommandResult putServers(const Context &With, const std::string &File,
                         const SubmitOptions &Options);
CommandResult leaveServer(const Context &With, const std::string &Name,
                          SubmitOptions Options, bool Wait);
CommandResult returnServer(const Context &With, const std::string &Name,
                           SubmitOptions Options);
CommandResult removeServer(const Context &With, const std::string &Name,
                           const SubmitOptions &Options);

/// Writes the presets and servers of a deployment that are not yet there, then
/// chooses its preset.
CommandResult initialize(const Context &With, const std::string &File,
                         const SubmitOptions &Options);

} // namespace cumingauge::ctl
