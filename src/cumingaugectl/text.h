#pragma once

#include "codec/describedjson.h"
#include <cstdint>
#include <string>

namespace cumingauge::ctl {

/// Returns the wall clock time in ms since 1970-01-01 UTC.
std::uint64_t wallMs();

/// Formats a time in UTC as "2026-01-31T12:00:00.000Z".
std::string timeText(std::uint64_t WallMs);

/// Formats a duration, such as "350 ms"; from 10 s on as whole seconds, such
/// as "12 s".
std::string durationText(std::uint64_t Ms);

/// Returns JSON on one line, with bytes that are not valid UTF-8 replaced.
std::string printable(const codec::Json &Value);

/// Returns the name of an enumerator as it is written in JSON.
template <class T> std::string enumText(T Value) {
  return codec::toJson(Value).template get<std::string>();
}

} // namespace cumingauge::ctl
