#include "emulator/loadplan.h"

namespace cumingauge::emulator {

namespace {

constexpr unsigned MaxThreads = 32;

void checkRoute(const LoadRoute &Route, const std::string &Path,
                model::Problems &Found) {
  if (Route.Name_.empty())
    Found.push_back({Path + "/name", "must not be empty"});
  if (Route.Path_.empty() || Route.Path_.front() != '/')
    Found.push_back({Path + "/path", "must start with '/'"});
  if (Route.CallsPerSecond_ < 0)
    Found.push_back({Path + "/callsPerSecond", "must not be negative"});
  if (Route.CancelShare_ < 0 || Route.CancelShare_ > 1)
    Found.push_back({Path + "/cancelShare", "must be between 0 and 1"});
}

void checkPhases(const LoadPlan &Plan, model::Problems &Found) {
  model::milliseconds Last{-1};
  for (std::size_t I = 0; I < Plan.Phases_.size(); ++I) {
    const std::string Path = "/phases/" + std::to_string(I);
    if (Plan.Phases_[I].From_ <= Last)
      Found.push_back({Path + "/fromMs",
                       "must be later than fromMs of the previous phase"});
    if (Plan.Phases_[I].RateFactor_ < 0)
      Found.push_back({Path + "/rateFactor", "must not be negative"});
    Last = Plan.Phases_[I].From_;
  }
}

} // namespace

model::Problems checkSettings(const LoadPlan &Plan) {
  model::Problems Found;
  if (Plan.Threads_ < 1 || Plan.Threads_ > MaxThreads)
    Found.push_back({"/threads", "must be between 1 and 32"});
  if (Plan.Callers_ < 1)
    Found.push_back({"/callers", "must be at least 1"});
  if (Plan.Duration_.count() < 1)
    Found.push_back({"/durationMs", "must be at least 1 ms"});
  if (Plan.Bucket_.count() < 1)
    Found.push_back({"/bucketMs", "must be at least 1 ms"});
  if (Plan.Entries_.empty())
    Found.push_back({"/entries", "must have an address"});
  if (Plan.Routes_.empty())
    Found.push_back({"/routes", "must have a route"});
  for (std::size_t I = 0; I < Plan.Routes_.size(); ++I)
    checkRoute(Plan.Routes_[I], "/routes/" + std::to_string(I), Found);
  checkPhases(Plan, Found);
  return Found;
}

std::size_t phaseAt(const LoadPlan &Plan, model::Duration At) {
  std::size_t Index = 0;
  while (Index + 1 < Plan.Phases_.size() && Plan.Phases_[Index + 1].From_ <= At)
    ++Index;
  return Index;
}

} // namespace cumingauge::emulator
