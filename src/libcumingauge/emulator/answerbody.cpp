#include "emulator/answerbody.h"
#include <algorithm>
#include <cstring>
#include <pcg_random.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cumingauge::emulator {

namespace {

/// Length of the repeated pattern, unless the call id alone is longer.
constexpr std::size_t PatternBytes = 251;

} // namespace

AnswerBody::AnswerBody(const std::string &Call) : Pattern_(Call + "\n") {
  pcg32 Random(XXH3_64bits(Call.data(), Call.size()));
  while (Pattern_.size() < PatternBytes)
    Pattern_ += static_cast<char>('a' + Random(26));
}

void AnswerBody::write(std::uint64_t Offset, char *Out,
                       std::size_t Size) const {
  std::size_t At = static_cast<std::size_t>(Offset % Pattern_.size());
  while (Size > 0) {
    const std::size_t Part = std::min(Size, Pattern_.size() - At);
    std::memcpy(Out, Pattern_.data() + At, Part);
    Out += Part;
    Size -= Part;
    At = 0;
  }
}

bool AnswerBody::matches(std::uint64_t Offset, const char *Bytes,
                         std::size_t Size) const {
  std::size_t At = static_cast<std::size_t>(Offset % Pattern_.size());
  while (Size > 0) {
    const std::size_t Part = std::min(Size, Pattern_.size() - At);
    if (std::memcmp(Bytes, Pattern_.data() + At, Part) != 0)
      return false;
    Bytes += Part;
    Size -= Part;
    At = 0;
  }
  return true;
}

std::string AnswerBody::generate(std::uint64_t Size) const {
  std::string Out(static_cast<std::size_t>(Size), '\0');
  write(0, Out.data(), Out.size());
  return Out;
}

} // namespace cumingauge::emulator
