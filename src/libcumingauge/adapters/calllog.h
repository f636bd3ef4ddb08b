#pragma once

#include "adapters/connectionendrecord.h"
#include "model/answerfault.h"
#include "model/attempttrace.h"
#include "model/backendserver.h"
#include "model/resultcode.h"
#include "model/time.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// Values that are logged for a request that did not become a call.
struct RefusalRecord {
  std::string Call_;   ///< identity from the request, or empty
  std::string Target_; ///< empty when the head was not read
  std::string Host_;
  model::ResultCode Code_ = model::ResultCode::Ok;
  std::string Detail_;                ///< what the parser found wrong, or empty
  std::uint64_t ConfigVersion_ = 0;   ///< by which it was refused; 0: none
  std::uint64_t AcceptedVersion_ = 0; ///< newest one of the process
  /// Time since that version was last confirmed to be the newest; -1: never.
  model::milliseconds ConfigAge_{-1};
  /// Who confirmed it last: a peer's process, "directory", or empty.
  std::string ConfigSource_;
};

/// Values that are logged for a call that has ended.
struct CallRecord {
  std::string Call_; ///< call id
  std::string Route_;
  std::string Service_;
  std::string Workspace_; ///< whose key the caller has; empty: none
  model::ResultCode Code_ = model::ResultCode::Ok;
  model::milliseconds Took_{0};    ///< from arrival to the end of the answer
  model::milliseconds Allowed_{0}; ///< from arrival to deadline
  bool Late_ = false;              ///< took longer than the route's objective
  /// Time from the start of this process's stop to the arrival of the call;
  /// absent when the call arrived before.
  std::optional<model::milliseconds> Stopping_;
  /// Time that the call waited for credit; absent when it got no answer.
  std::optional<model::milliseconds> CreditWait_;
  bool Pipelined_ = false; ///< arrived while an earlier call was unanswered
  bool Abandoned_ = false; ///< not answered when the process ended
  std::uint64_t ConfigVersion_ = 0;
  std::vector<model::AttemptTrace> Attempts_;
};

/// Logs calls that have ended: every call that was refused, failed, retried,
/// late or arrived while the process stops, and a sample of the others. The
/// number of lines a second is limited; the next line that is written says how
/// many were left out. Not thread-safe.
class CallLog {
  // Together they limit the log of a thread to about 50 KB a second.
  static constexpr unsigned MaxCallLines = 100;
  static constexpr unsigned MaxRefusalLines = 20;
  static constexpr unsigned MaxConnectionEndLines = 10;
  static constexpr unsigned MaxDiscardLines = 10;

public:
  /// Logs a call that has ended, unless it is not sampled or over the limit.
  void recordCall(const CallRecord &Record, model::TimePoint Now);

  /// Logs a request that was refused before it became a call. These lines have
  /// a limit of their own, so that calls do not displace them.
  void recordRefusedRequest(const RefusalRecord &Record, model::TimePoint Now);

  /// Logs that the process ends a connection, within a limit of its own.
  void recordConnectionEnd(const ConnectionEndRecord &Record,
                           model::TimePoint Now);

  /// Logs that bytes of a caller arrived after the connection was closed and
  /// are discarded. The limit is its own, as a stop ends many connections at
  /// once.
  void recordDiscardedBytes(const DiscardRecord &Record, model::TimePoint Now);

  /// Logs that a server's announcement of a leave or a pause is invalid.
  /// \param Call empty when it came in the answer to a probe.
  void recordUnreadableNotice(const std::string &Call,
                              const std::string &Server, model::TimePoint Now);

  /// Logs that a server's answer was refused or broke off.
  /// \param Call empty when it was the answer to a probe.
  /// \param Status status that was received; 0 without one.
  void recordFaultyAnswer(const std::string &Call,
                          const model::BackendServer &Server,
                          model::AnswerFault Fault, unsigned Status,
                          model::TimePoint Now);

private:
  /// Bounds the lines of one kind.
  struct LineWindow {
    unsigned MaxLines_ = 0; ///< in one window
    model::TimePoint Start_;
    unsigned Lines_ = 0;
    std::uint64_t Suppressed_ = 0; ///< since the last line
  };

  /// Counts a line and returns whether it may be written in the current window.
  static bool admitLine(LineWindow &Window, model::TimePoint Now);

  LineWindow Calls_{MaxCallLines};
  LineWindow Refusals_{MaxRefusalLines};
  LineWindow ConnectionEnds_{MaxConnectionEndLines};
  LineWindow Discards_{MaxDiscardLines};
  std::uint64_t OrdinaryCalls_ = 0;
};

} // namespace cumingauge::adapters
