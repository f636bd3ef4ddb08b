#include "adapters/httpsettings.h"

namespace cumingauge::adapters {

namespace {

constexpr unsigned MinHeaderBytes = 1024;
constexpr unsigned MaxHeaderBytes = 1048576;
constexpr unsigned MinDescriptors = 64;
constexpr unsigned MinMemoryMb = 1;
constexpr unsigned MaxKeptBodyBytes = 16777216;
constexpr model::milliseconds MaxTimeout{3600000};

void checkTimeout(model::milliseconds Value, const std::string &Path,
                  model::Problems &Found) {
  if (Value < model::milliseconds(1) || Value > MaxTimeout)
    Found.push_back({Path, "must be between 1 and 3600000 ms"});
}

} // namespace

model::Problems checkHttpLimits(const HttpLimits &Limits,
                                const std::string &Path) {
  model::Problems Found;
  if (Limits.HeaderBytes_ < MinHeaderBytes ||
      Limits.HeaderBytes_ > MaxHeaderBytes)
    Found.push_back(
        {Path + "/headerBytes", "must be between 1024 and 1048576 bytes"});
  if (Limits.KeptBodyBytes_ > MaxKeptBodyBytes)
    Found.push_back(
        {Path + "/keptBodyBytes", "must be at most 16777216 bytes"});
  if (Limits.KeptAnswerBytes_ > MaxKeptBodyBytes)
    Found.push_back(
        {Path + "/keptAnswerBytes", "must be at most 16777216 bytes"});
  if (Limits.RetryAfter_ < model::milliseconds(0) ||
      Limits.RetryAfter_ > MaxTimeout)
    Found.push_back(
        {Path + "/retryAfterMs", "must be between 0 and 3600000 ms"});
  if (Limits.MaxCallerConnections_ == 0)
    Found.push_back({Path + "/maxCallerConnections", "must be at least 1"});
  if (Limits.MemoryMb_ < MinMemoryMb)
    Found.push_back({Path + "/memoryMb", "must be at least 1 MB"});
  if (Limits.Descriptors_ < MinDescriptors)
    Found.push_back({Path + "/descriptors", "must be at least 64"});
  checkTimeout(Limits.HeadTimeout_, Path + "/headTimeoutMs", Found);
  checkTimeout(Limits.IdleTimeout_, Path + "/idleTimeoutMs", Found);
  checkTimeout(Limits.BodyTimeout_, Path + "/bodyTimeoutMs", Found);
  checkTimeout(Limits.WriteTimeout_, Path + "/writeTimeoutMs", Found);
  checkTimeout(Limits.BackendIdleTimeout_, Path + "/backendIdleTimeoutMs",
               Found);
  checkTimeout(Limits.FreshWait_, Path + "/freshWaitMs", Found);
  checkTimeout(Limits.CreditWait_, Path + "/creditWaitMs", Found);
  checkTimeout(Limits.DrainIdleTime_, Path + "/drainIdleTimeMs", Found);
  checkTimeout(Limits.TickPeriod_, Path + "/tickPeriodMs", Found);
  checkTimeout(Limits.DrainTimeout_, Path + "/drainTimeoutMs", Found);
  return Found;
}

} // namespace cumingauge::adapters
