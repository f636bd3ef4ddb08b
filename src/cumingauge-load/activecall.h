#pragma once

#include "emulator/answerbody.h"
#include "emulator/calloutcome.h"
#include "emulator/loadplan.h"
#include "model/time.h"
#include <cstdint>
#include <functional>
#include <string>

namespace cumingauge::load {

/// A call on its way.
struct ActiveCall {
  std::string Call_;
  std::string Caller_;
  const emulator::LoadRoute *Route_ = nullptr;
  std::size_t Index_ = 0; ///< of its outcome
  unsigned ConnectTries_ = 0;
  model::TimePoint Deadline_; ///< when the caller stops waiting
  bool Cancels_ = false;      ///< hangs up at the deadline by itself
};

/// What an exchange on a connection has given.
struct ExchangeResult {
  emulator::OutcomeKind Kind_ = emulator::OutcomeKind::ConnectionLost;
  int Code_ = -1;
  bool Foreign_ = false;
  bool WrongLength_ = false;
};

} // namespace cumingauge::load
