#pragma once

#include <boost/describe.hpp>
#include <string>
#include <string_view>

namespace cumingauge::model {

/// Numbered outcomes of calls, changes and program runs. The numbers are a
/// stable part of the interface; docs/RESULT-CODES.md documents them.
enum class ResultCode : int {
#define CUMINGAUGE_RESULT_CODE(Name, Number) Name = Number,
#include "model/resultcode.def"
};

// BOOST_DESCRIBE_ENUM takes 52 enumerators at most, its parts any number.
BOOST_DESCRIBE_ENUM_BEGIN(ResultCode)
#define CUMINGAUGE_RESULT_CODE(Name, Number)                                   \
  BOOST_DESCRIBE_ENUM_ENTRY(ResultCode, Name)
#include "model/resultcode.def"
BOOST_DESCRIBE_ENUM_END(ResultCode)

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
