#pragma once

#include "model/describe.h"
#include "model/resultcode.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// Timestamp of a hybrid logical clock: wall clock time plus a counter, so that
/// a cause is always earlier than its effect in another process.
struct HybridTime {
  std::uint64_t WallMs_ = 0; ///< ms since 1970
  std::uint32_t Counter_ = 0;
};
BOOST_DESCRIBE_STRUCT(HybridTime, (), (WallMs_, Counter_))

/// Kinds of events on the timeline of a fleet.
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
  ServerPaused,     ///< it wants no calls for a time
  ServerResumed,    ///< its pause has ended
  ServersChanged,   ///< several at once; Detail_ names them
  ServersRead,      ///< this process read the whole list from the directory
  CreditIssueBegan, ///< this process issues the credit of a part of quotas
  CreditIssueEnded, ///< it no longer does
  ServerLastCallEnded,
  ZoneEvacuated, ///< the servers of a zone get no new work from now on
  ZoneReturned,  ///< they get work again
  CallRetried,
  CallHedged,
  CallRefused,
  BudgetSpent,
  PauseFound,
  StoreAway,
  StoreBack,
  StoreRestored, ///< it came back from a copy
  ProcessStarted,
  ProcessReady,
  ProcessStopping,
  Alarm, ///< needs an operator's attention; Reason_ gives the cause
};
BOOST_DESCRIBE_ENUM(EventKind, ChangeAccepted, ChangeSeen, ChangeApplied,
                    MemberJoined, MemberSuspected, MemberDead, MemberReturned,
                    ServerCold, ServerReady, ServerLeaving, ServerEjected,
                    ServerGone, ServerPaused, ServerResumed, ServersChanged,
                    ServersRead, CreditIssueBegan, CreditIssueEnded,
                    ServerLastCallEnded, ZoneEvacuated, ZoneReturned,
                    CallRetried, CallHedged, CallRefused, BudgetSpent,
                    PauseFound, StoreAway, StoreBack, StoreRestored,
                    ProcessStarted, ProcessReady, ProcessStopping, Alarm)

/// One event on the timeline, as recorded by one process.
struct Event {
  HybridTime At_;
  std::string Process_;
  EventKind Kind_ = EventKind::ProcessStarted;
  /// Name of a server, member or preset, id of a change or call, path of a
  /// setting, or a fixed word such as "store".
  std::string Subject_;
  std::uint64_t Version_ = 0; ///< configuration version it concerns, or 0
  ResultCode Reason_ = ResultCode::Ok;
  std::string Detail_;
};
BOOST_DESCRIBE_STRUCT(Event, (),
                      (At_, Process_, Kind_, Subject_, Version_, Reason_,
                       Detail_))

} // namespace cumingauge::model
