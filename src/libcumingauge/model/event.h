#pragma once

#include "model/describe.h"
#include "model/resultcode.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// Hybrid logical time: wall clock with a counter, so that a cause is always
/// earlier than its effect on another process.
struct HybridTime {
  std::uint64_t WallMs_ = 0; ///< ms since 1970
  std::uint32_t Counter_ = 0;
};
BOOST_DESCRIBE_STRUCT(HybridTime, (), (WallMs_, Counter_))

/// Kinds of events on the time line.
enum class EventKind {
  ChangeAccepted,
  ChangeSeen,
  ChangeApplied,
  MemberJoined,
  MemberSuspected,
  MemberDead,
  MemberReturned,
  ServerCold,
  ServerReady,
  ServerLeaving,
  ServerEjected,
  ServerGone,
  ServersChanged, ///< many at once; the detail names them
  ServerLastCallEnded,
  CallRetried,
  CallHedged,
  CallRefused,
  BudgetSpent,
  PauseFound,
  StoreAway,
  StoreBack,
  ProcessStarted,
  ProcessReady,
  ProcessStopping,
  Alarm, ///< something an operator must look into; the reason says what
};
BOOST_DESCRIBE_ENUM(EventKind, ChangeAccepted, ChangeSeen, ChangeApplied,
                    MemberJoined, MemberSuspected, MemberDead, MemberReturned,
                    ServerCold, ServerReady, ServerLeaving, ServerEjected,
                    ServerGone, ServersChanged, ServerLastCallEnded,
                    CallRetried, CallHedged, CallRefused, BudgetSpent,
                    PauseFound, StoreAway, StoreBack, ProcessStarted,
                    ProcessReady, ProcessStopping, Alarm)

/// One event of one process.
struct Event {
  HybridTime At_;
  std::string Process_;
  EventKind Kind_ = EventKind::ProcessStarted;
  std::string Subject_;       ///< server, member or change id
  std::uint64_t Version_ = 0; ///< configuration version it concerns, or 0
  ResultCode Reason_ = ResultCode::Ok;
  std::string Detail_;
};
BOOST_DESCRIBE_STRUCT(Event, (),
                      (At_, Process_, Kind_, Subject_, Version_, Reason_,
                       Detail_))

} // namespace cumingauge::model
