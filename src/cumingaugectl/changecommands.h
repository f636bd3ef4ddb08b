#pragma once

#include "context.h"
#include "control/changewriter.h"
#include "model/change.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// How a change is to be written.
struct SubmitOptions {
  bool Confirmed_ = false;
  /// The version that the operator's decision rests on.
  std::optional<std::uint64_t> SeenVersion_;
  /// Id of an earlier try whose outcome was unknown; empty for a new change.
  std::string ChangeId_;
};

/// Writes a change and tells its outcome, which is never a guess.
control::WriteOutcome submit(const Context &With,
                             const model::ChangeAction &Action,
                             const SubmitOptions &Options);

/// Prints the outcome of a change and hands it to a few entry processes when it
/// was accepted.
void announce(const Context &With, const control::WriteOutcome &Outcome);

/// Submits and announces. Returns the outcome's code.
model::ResultCode change(const Context &With, const model::ChangeAction &Action,
                         const SubmitOptions &Options);

/// `change show`: what became of a change.
CommandResult showChange(const Context &With, const std::string &Id);

} // namespace cumingauge::ctl
