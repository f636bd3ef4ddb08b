#include "text.h"
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace cumingauge::ctl {

namespace {

constexpr std::uint64_t MsPerSecond = 1000;

} // namespace

std::uint64_t wallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string timeText(std::uint64_t WallMs) {
  const auto Seconds = static_cast<std::time_t>(WallMs / MsPerSecond);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Day{};
  std::strftime(Day.data(), Day.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::array<char, 8> Fraction{};
  std::snprintf(Fraction.data(), Fraction.size(), ".%03uZ",
                static_cast<unsigned>(WallMs % MsPerSecond));
  return std::string(Day.data()) + Fraction.data();
}

std::string durationText(std::uint64_t Ms) {
  constexpr std::uint64_t ShowSecondsFromMs = 10 * MsPerSecond;
  return Ms < ShowSecondsFromMs ? std::to_string(Ms) + " ms"
                                : std::to_string(Ms / MsPerSecond) + " s";
}

std::string printable(const codec::Json &Value) {
  return Value.dump(-1, ' ', false, codec::Json::error_handler_t::replace);
}

} // namespace cumingauge::ctl
