#include "model/preset.h"
#include <algorithm>
#include <set>

namespace cumingauge::model {

namespace {

constexpr milliseconds MaxDeadline{600000};
constexpr unsigned MaxRetryAttempts = 10;
constexpr double MaxProbesPerSecond = 100000;

void require(bool Holds, const std::string &Path, const char *Message,
             Problems &Found) {
  if (!Holds)
    Found.push_back({Path, Message});
}

void checkShare(double Value, const std::string &Path, Problems &Found) {
  require(Value >= 0 && Value <= 1, Path, "must be between 0 and 1", Found);
}

void checkRoute(const Route &Value, const std::string &Path, Problems &Found) {
  require(!Value.Name_.empty(), Path + "/name", "must not be empty", Found);
  require(!Value.PathPrefix_.empty() && Value.PathPrefix_.front() == '/',
          Path + "/pathPrefix", "must start with '/'", Found);
  require(!Value.Service_.empty() || !Value.Parts_.empty(), Path + "/service",
          "must not be empty", Found);
  for (std::size_t I = 0; I < Value.Parts_.size(); ++I)
    require(!Value.Parts_[I].Service_.empty() && Value.Parts_[I].Weight_ >= 0,
            Path + "/parts/" + std::to_string(I),
            "must have a service and a weight of at least 0", Found);
  require(Value.Deadline_ > milliseconds(0) && Value.Deadline_ <= MaxDeadline,
          Path + "/deadlineMs", "must be between 1 and 600000 ms", Found);
}

void checkRoutes(const std::vector<Route> &Routes, const std::string &Path,
                 Problems &Found) {
  std::set<std::pair<std::string, std::string>> Prefixes;
  for (std::size_t I = 0; I < Routes.size(); ++I) {
    const std::string RoutePath = Path + "/" + std::to_string(I);
    checkRoute(Routes[I], RoutePath, Found);
    require(Prefixes.emplace(Routes[I].Host_, Routes[I].PathPrefix_).second,
            RoutePath + "/pathPrefix", "is used by an earlier route", Found);
  }
}

} // namespace

const ServiceRule *findServiceRule(const Preset &Value,
                                   const std::string &Service) {
  const auto Found = std::find_if(
      Value.Services_.begin(), Value.Services_.end(),
      [&](const ServiceRule &Rule) { return Rule.Service_ == Service; });
  return Found == Value.Services_.end() ? nullptr : &*Found;
}

unsigned maxConnections(const Preset &Value, const std::string &Service) {
  const ServiceRule *Rule = findServiceRule(Value, Service);
  const unsigned OfAll = Value.Servers_.MaxConnections_;
  return Rule && Rule->MaxConnections_ > 0
             ? std::min(Rule->MaxConnections_, OfAll)
             : OfAll;
}

Problems checkPreset(const Preset &Value, const std::string &Path) {
  Problems Found;
  require(!Value.Name_.empty(), Path + "/name", "must not be empty", Found);
  require(Value.ZoneCost_ >= microseconds(0), Path + "/zoneCostUs",
          "must not be negative", Found);
  const MeasuringBudget &Measuring = Value.Measuring_;
  require(Measuring.ProbesPerSecond_ >= 0 &&
              Measuring.ProbesPerSecond_ <= MaxProbesPerSecond,
          Path + "/measuring/probesPerSecond",
          "must be between 0 and 100000 per second", Found);
  require(Measuring.ProbeTimeout_ > milliseconds(0),
          Path + "/measuring/probeTimeoutMs", "must be at least 1 ms", Found);
  require(Measuring.ReportMaxAge_ >= milliseconds(0),
          Path + "/measuring/reportMaxAgeMs", "must not be negative", Found);
  checkShare(Value.Retry_.Ratio_, Path + "/retry/ratio", Found);
  require(Value.Retry_.MaxAttempts_ >= 1 &&
              Value.Retry_.MaxAttempts_ <= MaxRetryAttempts,
          Path + "/retry/maxAttempts", "must be between 1 and 10", Found);
  checkShare(Value.Hedge_.Ratio_, Path + "/hedge/ratio", Found);
  checkShare(Value.Hedge_.LatencyQuantile_, Path + "/hedge/latencyQuantile",
             Found);
  checkShare(Value.Queue_.MaxCallerShare_, Path + "/queue/maxCallerShare",
             Found);
  require(Value.Servers_.MaxConnections_ >= 1, Path + "/servers/maxConnections",
          "must be at least 1", Found);
  require(Value.Servers_.InFlightPerSlot_ > 0,
          Path + "/servers/inFlightPerSlot", "must be above 0", Found);
  require(Value.Servers_.ConnectTimeout_ > milliseconds(0),
          Path + "/servers/connectTimeoutMs", "must be at least 1 ms", Found);
  checkShare(Value.Ejection_.FailureRatio_, Path + "/ejection/failureRatio",
             Found);
  checkShare(Value.Ejection_.MaxEjectedShare_,
             Path + "/ejection/maxEjectedShare", Found);
  require(Value.Ejection_.BaseTime_ > milliseconds(0),
          Path + "/ejection/baseTimeMs", "must be at least 1 ms", Found);
  require(!Value.Routes_.empty(), Path + "/routes", "must have a route", Found);
  checkRoutes(Value.Routes_, Path + "/routes", Found);
  const Problems OfWorkspaces =
      checkWorkspaces(*Value.Workspaces_, Path + "/workspaces");
  Found.insert(Found.end(), OfWorkspaces.begin(), OfWorkspaces.end());
  return Found;
}

} // namespace cumingauge::model
