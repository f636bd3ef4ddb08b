#pragma once

#include "emulator/answerbody.h"
#include "emulator/calloutcome.h"
#include "emulator/loadplan.h"
#include "model/time.h"
#include <cstdint>
#include <functional>
#include <string>

namespace cumingauge::load {

/// A call in flight.
struct ActiveCall {
  std::string Call_;
  std::string Caller_;
  const emulator::LoadRoute *Route_ = nullptr;
  std::size_t Index_ = 0;     ///< of its outcome in ThreadReport::Outcomes_
  unsigned ConnectTries_ = 0; ///< connections that failed for this call
  model::TimePoint Deadline_; ///< when the caller stops waiting
  /// The caller cancels the call at the deadline, as the plan asks for.
  bool Cancels_ = false;
};

/// Result of one request and its answer on a connection.
struct ExchangeResult {
  emulator::OutcomeKind Kind_ = emulator::OutcomeKind::ConnectionLost;
  int Code_ = -1;        ///< number of the result code, -1 for none
  bool Foreign_ = false; ///< body or call id of another call
  /// Complete answer, but not of the requested length.
  bool WrongLength_ = false;
};

} // namespace cumingauge::load
