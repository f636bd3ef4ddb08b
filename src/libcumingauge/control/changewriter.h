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

/// State machine that writes one change to the change log. It does no I/O and
/// reads no clock; its caller does both:
///
///     ChangeWriter Writer = startWrite(Request, Limits, now());
///     while (true) {
///       const WriterStep Step = nextStep(Writer, now());
///       if (Step.Outcome_) return *Step.Outcome_;
///       sleep(Step.Delay_);
///       handleResponse(Writer, execute(*Step.Request_), now());
///     }
namespace cumingauge::control {

/// A change to be written, as requested by an operator.
struct WriteRequest {
  std::string Id_; ///< unique; chosen before the first attempt, never reused
  std::string Author_;
  model::ChangeAction Action_;
  bool Confirmed_ = false; ///< see checkAction
  /// Version that the operator's decision is based on. When absent, the version
  /// that the writer reads from the store first.
  std::optional<std::uint64_t> SeenVersion_;
  std::uint64_t WallMs_ = 0; ///< writer's wall clock, ms since 1970
};

/// Time limits of a write.
struct WriteLimits {
  /// Longest time until an outcome is returned.
  model::Duration Timeout_ = model::seconds(15);
  /// Delay before the first retry; doubles with each further one.
  model::Duration InitialBackoff_ = model::milliseconds(100);
  model::Duration MaxBackoff_ = model::seconds(1);
};

/// The change is in the log, as Change_.
struct WriteAccepted {
  model::Change Change_;
};

/// The change is not in the log and never will be. Code_: ChangeRefused,
/// ConfirmationNeeded, StoreUnavailable (the store could not be reached),
/// StoreAnswerInvalid.
struct WriteRefused {
  model::ResultCode Code_ = model::ResultCode::ChangeRefused;
  model::Problems Problems_;
};

/// The change is not in the log and never will be: another change to the same
/// preset or server, which the operator had not seen, was accepted first. The
/// members describe that change.
struct WriteConflict {
  std::uint64_t Version_ = 0;
  std::string Author_;
  std::string Id_;
};

/// The change may be in the log, or may still get there. ChangeLookup finds
/// out which.
struct WriteUnknown {
  std::string Id_;
  std::uint64_t Version_ = 0; ///< version of the last attempt
};

using WriteOutcome =
    std::variant<WriteAccepted, WriteRefused, WriteConflict, WriteUnknown>;

/// Returns the result code of an outcome; Ok when the change was accepted.
model::ResultCode codeOf(const WriteOutcome &Outcome);

/// State of one write.
struct ChangeWriter {
  enum class Phase {
    Reading,        ///< reads the log up to its end
    Creating,       ///< creates the entry unless the version is taken
    ReadingOccupant ///< reads the entry that has taken the version
  };

  WriteRequest Request_;
  WriteLimits Limits_;
  model::TimePoint StartedAt_;
  Phase Phase_ = Phase::Reading;
  StateReader Reader_;
  model::Change Entry_;    ///< the entry to be created
  std::string EntryBytes_; ///< encoded entry, equal in every attempt
  /// An attempt at this version may have succeeded.
  bool MayHaveBeenWritten_ = false;
  unsigned Failures_ = 0; ///< consecutive failed requests
  std::optional<WriteOutcome> Outcome_;
};

/// Either a request to send after a delay, or the outcome.
struct WriterStep {
  std::optional<ports::StoreRequest> Request_;
  model::Duration Delay_{0};
  std::optional<WriteOutcome> Outcome_;
};

/// Returns a writer for the request. The time limit counts from \p Now.
ChangeWriter startWrite(WriteRequest Request, const WriteLimits &Limits,
                        model::TimePoint Now);

/// Returns what to do next. Gives up when the time limit has passed.
WriterStep nextStep(ChangeWriter &Writer, model::TimePoint Now);

/// Processes the response to the request of the last step.
void handleResponse(ChangeWriter &Writer, const ports::StoreResponse &Answer,
                    model::TimePoint Now);

} // namespace cumingauge::control
