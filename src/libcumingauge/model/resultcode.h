#pragma once

#include <boost/describe.hpp>
#include <string>
#include <string_view>

namespace cumingauge::model {

/// Numbered outcomes of calls, changes and program runs. The numbers are a
/// stable part of the interface; docs/RESULT-CODES.md documents them.
enum class ResultCode : int {
  Ok = 0,

  UsageInvalid = 10,
  SettingsUnreadable = 11,
  SettingsMalformed = 12,
  SettingsInvalid = 13,
  AddressInUse = 14,
  InternalError = 15,

  ChangeRefused = 30,
  ChangeConflict = 31,
  ChangeOutcomeUnknown = 32,
  ChangeNotFound = 33,
  ChangeMalformed = 34,
  ConfirmationNeeded = 35,
  WaitTimedOut = 36,

  StoreUnavailable = 50,
  StoreTimeout = 51,
  StoreRateLimited = 52,
  StoreAnswerInvalid = 53,
  StoreBehindFleet = 54,

  PeerKeyInvalid = 70,
  PeerProtocolVersion = 71,
  PeerMessageMalformed = 72,
  PeerMessageTooLarge = 73,
  PeerUnreachable = 74,
  PeerVersionClaim = 75,

  NotRunNoServer = 100,
  NotRunQueueFull = 101,
  NotRunDeadline = 102,
  NotRunOverload = 103,
  NotRunShed = 104,
  NotRunStopping = 105,
  NotRunTooManyConnections = 106,
  NotRunControlStale = 107,
  NotRunConnectFailed = 108,
  NotRunRetryBudget = 109,
  NotRunCallerShare = 110,
  NotRunServersPaused = 111,
  NotRunMemory = 112,

  UnknownDeadline = 130,
  UnknownConnectionLost = 131,
  UnknownAnswerBroken = 132,
  UnknownAnswerMalformed = 133,

  RequestMalformed = 150,
  RequestHeadersTooLarge = 151,
  RequestBodyTooLarge = 152,
  RequestTimeout = 153,
  RequestNoRoute = 154,
  RequestLengthConflict = 155,
  RequestExpectationUnknown = 156,
  CallerGone = 157,
  RequestKeyMissing = 158,
  RequestKeyUnknown = 159,
};

BOOST_DESCRIBE_ENUM(
    ResultCode, Ok, UsageInvalid, SettingsUnreadable, SettingsMalformed,
    SettingsInvalid, AddressInUse, InternalError, ChangeRefused, ChangeConflict,
    ChangeOutcomeUnknown, ChangeNotFound, ChangeMalformed, ConfirmationNeeded,
    WaitTimedOut, StoreUnavailable, StoreTimeout, StoreRateLimited,
    StoreAnswerInvalid, StoreBehindFleet, PeerKeyInvalid, PeerProtocolVersion,
    PeerMessageMalformed, PeerMessageTooLarge, PeerUnreachable,
    PeerVersionClaim, NotRunNoServer, NotRunQueueFull, NotRunDeadline,
    NotRunOverload, NotRunShed, NotRunStopping, NotRunTooManyConnections,
    NotRunControlStale, NotRunConnectFailed, NotRunRetryBudget,
    NotRunCallerShare, NotRunServersPaused, NotRunMemory, UnknownDeadline,
    UnknownConnectionLost, UnknownAnswerBroken, UnknownAnswerMalformed,
    RequestMalformed, RequestHeadersTooLarge, RequestBodyTooLarge,
    RequestTimeout, RequestNoRoute, RequestLengthConflict,
    RequestExpectationUnknown, CallerGone, RequestKeyMissing, RequestKeyUnknown)

/// Returns the name of a code, as used in the documentation; "Unnamed" for a
/// number that is not a code.
std::string_view nameOf(ResultCode Code);

/// Returns true when the code states that the call was never started on any
/// backend server.
bool isNotRun(ResultCode Code);

/// Returns true when the call may have run although no complete response
/// arrived.
bool isOutcomeUnknown(ResultCode Code);

/// Returns the HTTP status with which a call that ended in this code is
/// answered to the caller.
unsigned httpStatusOf(ResultCode Code);

} // namespace cumingauge::model
