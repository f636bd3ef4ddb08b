#pragma once

#include <cstdint>
#include <string>

/// The body of an answer as a function of the call's identity, so that a
/// caller can tell its own whole answer from any other.
namespace cumingauge::emulator {

/// Source of one call's answer body.
class AnswerBody {
public:
  explicit AnswerBody(const std::string &Call);

  /// Writes \p Size bytes that start at \p Offset of the body.
  void write(std::uint64_t Offset, char *Out, std::size_t Size) const;

  /// True when these bytes stand at \p Offset of the body.
  bool matches(std::uint64_t Offset, const char *Bytes, std::size_t Size) const;

  std::string generate(std::uint64_t Size) const;

private:
  std::string Pattern_; ///< repeats over the whole body
};

} // namespace cumingauge::emulator
