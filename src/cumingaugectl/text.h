#pragma once

#include "codec/describedjson.h"
#include <cstdint>
#include <string>

namespace cumingauge::ctl {

/// Milliseconds since 1970.
std::uint64_t wallMs();

/// UTC as "2026-01-31T12:00:00.000Z".
std::string timeText(std::uint64_t WallMs);

/// A duration in the unit that reads best, such as "350 ms" or "12 s".
std::string durationText(std::uint64_t Ms);

/// JSON on one line; bytes that are no UTF-8 are replaced.
std::string printable(const codec::Json &Value);

/// The name of an enumerator as JSON writes it.
template <class T> std::string enumText(T Value) {
  return codec::toJson(Value).template get<std::string>();
}

} // namespace cumingauge::ctl
