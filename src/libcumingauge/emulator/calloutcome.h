#pragma once

#include "emulator/describe.h"
#include "model/time.h"
#include <cstdint>
#include <string>

namespace cumingauge::emulator {

/// What a caller was told in the end.
enum class OutcomeKind {
  Answer,         ///< whole answer with status below 400
  ServerError,    ///< whole answer of a backend server, status 400 or more
  NotRun,         ///< result code that states it
  Unknown,        ///< result code that states an unknown outcome
  Refused,        ///< result code on the request itself
  Unnamed,        ///< error of an entry process without a result code
  BrokenAnswer,   ///< an answer that visibly ended too early
  ConnectionLost, ///< connection closed before any answer
  NotSent,        ///< no entry process took the connection
  Cancelled,      ///< the caller hung up
  GaveUp          ///< nothing at all within the caller's patience
};
BOOST_DESCRIBE_ENUM(OutcomeKind, Answer, ServerError, NotRun, Unknown, Refused,
                    Unnamed, BrokenAnswer, ConnectionLost, NotSent, Cancelled,
                    GaveUp)

/// One call as its caller saw it.
struct CallOutcome {
  std::uint32_t Route_ = 0;
  std::uint32_t Entry_ = 0;    ///< index of the address it was sent to
  model::Duration At_{0};      ///< intended start, since the run's start
  model::Duration Latency_{0}; ///< from the intended start
  OutcomeKind Kind_ = OutcomeKind::GaveUp;
  int Code_ = -1;            ///< number of the result code, -1 for none
  bool Foreign_ = false;     ///< bytes or identity of another call
  bool WrongLength_ = false; ///< given as whole, but not of the asked length
};

} // namespace cumingauge::emulator
