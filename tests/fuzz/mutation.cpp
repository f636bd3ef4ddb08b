#include "mutation.h"
#include <cstdlib>

namespace cumingauge::testing {

namespace {

std::uint64_t numberFrom(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

std::size_t below(std::size_t Bound, std::mt19937_64 &Random) {
  return Bound == 0 ? 0 : Random() % Bound;
}

const std::string &pick(const std::vector<std::string> &Samples,
                        std::mt19937_64 &Random) {
  return Samples[below(Samples.size(), Random)];
}

void damageOnce(std::string &Bytes, const std::vector<std::string> &Samples,
                std::mt19937_64 &Random) {
  constexpr unsigned Ways = 5;
  constexpr std::size_t MaxPiece = 16;
  const std::size_t At = below(Bytes.size() + 1, Random);
  const std::size_t Length = 1 + below(MaxPiece, Random);
  switch (Random() % Ways) {
  case 0:
    if (At < Bytes.size())
      Bytes[At] = static_cast<char>(Random());
    break;
  case 1:
    Bytes.insert(At, 1, static_cast<char>(Random()));
    break;
  case 2:
    Bytes.erase(At, Length);
    break;
  case 3:
    Bytes.insert(At, Bytes.substr(At, Length));
    break;
  default: {
    const std::string &Other = pick(Samples, Random);
    const std::size_t From = below(Other.size() + 1, Random);
    Bytes.replace(At, Length, Other.substr(From, Length));
  }
  }
}

} // namespace

FuzzPlan fuzzPlan() {
  const FuzzPlan Default;
  return {numberFrom("FUZZ_INPUTS", Default.Inputs_),
          numberFrom("FUZZ_SEED", Default.Seed_)};
}

std::string mutate(const std::vector<std::string> &Samples,
                   std::mt19937_64 &Random) {
  constexpr unsigned MaxDamages = 6;
  std::string Out = pick(Samples, Random);
  const unsigned Damages = 1 + Random() % MaxDamages;
  for (unsigned I = 0; I < Damages; ++I)
    damageOnce(Out, Samples, Random);
  return Out;
}

} // namespace cumingauge::testing
