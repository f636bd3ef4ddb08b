#pragma once

#include "emulator/describe.h"
#include "model/time.h"
#include <cstdint>
#include <string>

namespace cumingauge::emulator {

/// How a call ended for its caller.
enum class OutcomeKind {
  Answer,         ///< complete answer with status below 400
  ServerError,    ///< complete answer of a backend server, status 400 or more
  NotRun,         ///< result code that states that the call did not run
  Unknown,        ///< result code that states an unknown outcome
  Refused,        ///< result code about the request itself
  Unnamed,        ///< error of an entry process without a result code
  BrokenAnswer,   ///< incomplete or malformed answer
  ConnectionLost, ///< the connection ended before any answer
  NotSent,        ///< no entry process accepted a connection
  Cancelled,      ///< the caller closed the connection on purpose
  GaveUp          ///< no complete answer within the caller's timeout
};
BOOST_DESCRIBE_ENUM(OutcomeKind, Answer, ServerError, NotRun, Unknown, Refused,
                    Unnamed, BrokenAnswer, ConnectionLost, NotSent, Cancelled,
                    GaveUp)

/// Outcome of one call as its caller saw it.
struct CallOutcome {
  std::uint32_t Route_ = 0;
  std::uint32_t Entry_ = 0;    ///< index of the address it was sent to
  model::Duration At_{0};      ///< intended start, since the run's start
  model::Duration Latency_{0}; ///< from the intended start
  OutcomeKind Kind_ = OutcomeKind::GaveUp;
  int Code_ = -1;        ///< number of the result code, -1 for none
  bool Foreign_ = false; ///< body or call id of another call
  /// Complete answer, but not of the requested length.
  bool WrongLength_ = false;
};

} // namespace cumingauge::emulator
