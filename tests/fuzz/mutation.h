#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Damaged inputs made from good ones.
namespace cumingauge::testing {

/// How many inputs a fuzz test runs and from which seed. Taken from FUZZ_INPUTS
/// and FUZZ_SEED; the defaults give the same inputs at every run.
struct FuzzPlan {
  std::uint64_t Inputs_ = 100000;
  std::uint64_t Seed_ = 1;
};

FuzzPlan fuzzPlan();

/// Damages a random sample: flips, inserts, removes, repeats and splices bytes.
std::string mutate(const std::vector<std::string> &Samples,
                   std::mt19937_64 &Random);

} // namespace cumingauge::testing
