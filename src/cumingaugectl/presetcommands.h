#pragma once

#include "changecommands.h"
#include "context.h"
#include <string>

/// The `preset` commands.
namespace cumingauge::ctl {

CommandResult listPresets(const Context &With);
CommandResult showPreset(const Context &With, const std::string &Name);

/// Checks a file without asking anyone.
CommandResult checkPresetFile(const Context &With, const std::string &File);

CommandResult putPreset(const Context &With, const std::string &File,
                        const SubmitOptions &Options);
CommandResult choosePreset(const Context &With, const std::string &Name,
                           const SubmitOptions &Options, bool Wait);

} // namespace cumingauge::ctl
