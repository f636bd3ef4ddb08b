#pragma once

#include "changecommands.h"
#include "context.h"
#include <string>

/// The `preset` commands.
namespace cumingauge::ctl {

CommandResult listPresets(const Context &Ctx);
CommandResult showPreset(const Context &Ctx, const std::string &Name);

/// Checks a file locally, without the store and the entry processes.
CommandResult checkPresetFile(const Context &Ctx, const std::string &File);

CommandResult putPreset(const Context &Ctx, const std::string &File,
                        const SubmitOptions &Options);

/// Puts a preset in force. With \p Wait, returns only once it is in force on
/// every entry VM, or fails with WaitTimedOut.
CommandResult choosePreset(const Context &Ctx, const std::string &Name,
                           const SubmitOptions &Options, bool Wait);

} // namespace cumingauge::ctl
