#pragma once

#include "control/statereader.h"
#include "model/change.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include "model/time.h"
#include "ports/store.h"
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

/// Writes one change into the log as a state machine without socket or clock:
///
///     ChangeWriter Writer = startWrite(Request, Limits, now());
///     while (true) {
///       const WriterStep Step = nextStep(Writer, now());
///       if (Step.Outcome_) return *Step.Outcome_;
///       sleep(Step.Delay_);
///       takeAnswer(Writer, execute(*Step.Request_), now());
///     }
namespace cumingauge::control {

/// A change that an operator wants.
struct WriteRequest {
  std::string Id_; ///< unique; chosen before the first try, never reused
  std::string Author_;
  model::ChangeAction Action_;
  bool Confirmed_ = false; ///< see checkAction
  /// Version that the operator's decision is based on; when absent, the one
  /// that the writer reads first.
  std::optional<std::uint64_t> SeenVersion_;
  std::uint64_t WallMs_ = 0; ///< writer's wall clock, ms since 1970
};

struct WriteLimits {
  model::Duration Total_ = model::seconds(15); ///< until the answer at latest
  model::Duration FirstRetry_ = model::milliseconds(100);
  model::Duration LastRetry_ = model::seconds(1);
};

/// In the log at this version.
struct WriteAccepted {
  model::Change Change_;
};

/// Not in the log and never will be. Code_: ChangeRefused, ConfirmationNeeded,
/// StoreUnavailable (the store could not be asked), StoreAnswerInvalid.
struct WriteRefused {
  model::ResultCode Code_ = model::ResultCode::ChangeRefused;
  model::Problems Problems_;
};

/// Not in the log and never will be: another change to the same subject, not
/// known to the operator, was accepted first.
struct WriteConflict {
  std::uint64_t Version_ = 0;
  std::string Author_;
  std::string Id_;
};

/// May be in the log, now or later; look the id up.
struct WriteUnknown {
  std::string Id_;
  std::uint64_t Version_ = 0; ///< where it was tried last
};

using WriteOutcome =
    std::variant<WriteAccepted, WriteRefused, WriteConflict, WriteUnknown>;

/// Exit code of an outcome.
model::ResultCode codeOf(const WriteOutcome &Outcome);

struct ChangeWriter {
  enum class Phase { Reading, Creating, Looking };

  WriteRequest Request_;
  WriteLimits Limits_;
  model::TimePoint StartedAt_;
  Phase Phase_ = Phase::Reading;
  StateReader Reader_;
  model::Change Entry_;             ///< what is being created
  std::string EntryBytes_;          ///< the same bytes at every try
  bool MayHaveBeenWritten_ = false; ///< a try at this version went unanswered
  unsigned Failures_ = 0;           ///< in a row
  std::optional<WriteOutcome> Outcome_;
};

/// Either a call to make after a delay, or the outcome.
struct WriterStep {
  std::optional<ports::StoreRequest> Request_;
  model::Duration Delay_{0};
  std::optional<WriteOutcome> Outcome_;
};

ChangeWriter startWrite(WriteRequest Request, const WriteLimits &Limits,
                        model::TimePoint Now);

WriterStep nextStep(ChangeWriter &Writer, model::TimePoint Now);

void takeAnswer(ChangeWriter &Writer, const ports::StoreResponse &Answer,
                model::TimePoint Now);

} // namespace cumingauge::control
