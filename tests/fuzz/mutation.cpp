#include "mutation.h"
#include <cstdlib>

namespace cumingauge::testing {

namespace {

std::uint64_t readEnvironmentNumber(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

std::size_t randomBelow(std::size_t Bound, std::mt19937_64 &Random) {
  return Bound == 0 ? 0 : Random() % Bound;
}

const std::string &pickSample(const std::vector<std::string> &Samples,
                              std::mt19937_64 &Random) {
  return Samples[randomBelow(Samples.size(), Random)];
}

void mutateOnce(std::string &Bytes, const std::vector<std::string> &Samples,
                std::mt19937_64 &Random) {
  constexpr unsigned Kinds = 5;
  constexpr std::size_t MaxPieceBytes = 16;
  const std::size_t At = randomBelow(Bytes.size() + 1, Random);
  const std::size_t Length = 1 + randomBelow(MaxPieceBytes, Random);
  switch (Random() % Kinds) {
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
    const std::string &Other = pickSample(Samples, Random);
    const std::size_t From = randomBelow(Other.size() + 1, Random);
    Bytes.replace(At, Length, Other.substr(From, Length));
  }
  }
}

} // namespace

FuzzPlan readFuzzPlan() {
  const FuzzPlan Default;
  return {readEnvironmentNumber("FUZZ_INPUTS", Default.Inputs_),
          readEnvironmentNumber("FUZZ_SEED", Default.Seed_)};
}

std::string mutate(const std::vector<std::string> &Samples,
                   std::mt19937_64 &Random) {
  constexpr unsigned MaxMutations = 6;
  std::string Out = pickSample(Samples, Random);
  const unsigned Mutations = 1 + Random() % MaxMutations;
  for (unsigned I = 0; I < Mutations; ++I)
    mutateOnce(Out, Samples, Random);
  return Out;
}

} // namespace cumingauge::testing
