#pragma once

#include <cstdint>
#include <string>

/// The body of an answer is a function of the call's id, so that a caller can
/// tell its own complete answer from any other.
namespace cumingauge::emulator {

/// Generates and checks the answer body of one call.
class AnswerBody {
public:
  explicit AnswerBody(const std::string &Call);

  /// Writes \p Size bytes of the body, beginning at \p Offset.
  void write(std::uint64_t Offset, char *Out, std::size_t Size) const;

  /// Returns true when the body has these bytes at \p Offset.
  bool matches(std::uint64_t Offset, const char *Bytes, std::size_t Size) const;

  /// Returns the first \p Size bytes of the body.
  std::string generate(std::uint64_t Size) const;

private:
  std::string Pattern_; ///< repeats over the whole body
};

} // namespace cumingauge::emulator
