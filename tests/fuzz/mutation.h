#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/// Invalid inputs made by mutating valid samples.
namespace cumingauge::testing {

/// Number of inputs of a fuzz test and the seed of their mutations. Read from
/// FUZZ_INPUTS and FUZZ_SEED; the defaults give the same inputs in every run.
struct FuzzPlan {
  std::uint64_t Inputs_ = 100000;
  std::uint64_t Seed_ = 1;
};

FuzzPlan readFuzzPlan();

/// Returns a random sample with random mutations: overwrites, inserts, removes,
/// repeats and splices bytes.
std::string mutate(const std::vector<std::string> &Samples,
                   std::mt19937_64 &Random);

} // namespace cumingauge::testing
