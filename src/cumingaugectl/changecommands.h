#pragma once

#include "context.h"
#include "control/changewriter.h"
#include "model/change.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Options of a write to the change log.
struct SubmitOptions {
  /// Confirms a change that takes away the last server of a service.
  bool Confirmed_ = false;
  /// The version that the operator has seen: a later change of the same preset
  /// or server is a conflict. Empty for no such check.
  std::optional<std::uint64_t> SeenVersion_;
  /// Id of an earlier attempt whose outcome was unknown; empty for a new
  /// change.
  std::string ChangeId_;
};

/// Writes a change to the store and waits for its outcome. Returns
/// WriteUnknown when no answer of the store shows whether it was accepted.
control::WriteOutcome submit(const Context &Ctx,
                             const model::ChangeAction &Action,
                             const SubmitOptions &Options);

/// Prints the outcome of a change and, when it was accepted, sends it to a few
/// entry processes.
void reportOutcome(const Context &Ctx, const control::WriteOutcome &Outcome);

/// Submits a change and reports its outcome. Returns the outcome's code.
model::ResultCode change(const Context &Ctx, const model::ChangeAction &Action,
                         const SubmitOptions &Options);

/// `change show`: prints the outcome of the change with this id.
CommandResult showChange(const Context &Ctx, const std::string &Id);

} // namespace cumingauge::ctl
