#include "platform/configurationdocument.h"
#include "codec/keydigest.h"
#include "platform/jsonfields.h"
#include <algorithm>
#include <limits>
#include <set>

namespace cumingauge::platform {

namespace {

// The platform's ranks are mapped to the three priority classes of the
// balancer; rank 3 and all higher ranks share the least urgent class.
constexpr std::uint64_t FirstPatientRank = 3;
constexpr std::uint64_t FirstNormalRank = 2;

model::Priority priorityOf(std::uint64_t Rank) {
  if (Rank < FirstNormalRank)
    return model::Priority::Urgent;
  return Rank < FirstPatientRank ? model::Priority::Normal
                                 : model::Priority::Patient;
}

model::milliseconds millisField(const Json &Object, const char *Name) {
  return model::milliseconds(
      static_cast<long long>(numberField(Object, Name).value_or(0)));
}

std::vector<model::RoutePart> readParts(const Json &Route) {
  std::vector<model::RoutePart> Out;
  const Json *Parts = findField(Route, "traffic-split");
  if (!Parts || !Parts->is_array())
    return Out;
  for (const Json &Part : *Parts) {
    const auto Service = textField(Part, "service");
    const auto Weight = numberField(Part, "weight");
    if (Service && Weight && *Weight >= 0)
      Out.push_back({*Service, *Weight});
  }
  return Out;
}

std::vector<std::string> readHomes(const Json &Route) {
  std::vector<std::string> Out;
  const Json *Homes = findField(Route, "home-regions");
  if (!Homes || !Homes->is_array())
    return Out;
  for (const Json &Home : *Homes)
    if (Home.is_string())
      Out.push_back(Home.get<std::string>());
  return Out;
}

std::optional<model::Route> readRoute(const Json &Document) {
  const auto Host = textField(Document, "host");
  const auto Prefix = textField(Document, "prefix");
  const auto Service = textField(Document, "service");
  model::Route Out;
  Out.Parts_ = readParts(Document);
  Out.Homes_ = readHomes(Document);
  if (!Host || !Prefix || (!Service && Out.Parts_.empty()))
    return std::nullopt;
  Out.Name_ = textField(Document, "name").value_or(*Host + *Prefix);
  Out.Host_ = *Host;
  Out.PathPrefix_ = *Prefix;
  Out.Service_ = Service.value_or("");
  // A route of any other kind counts as not idempotent: its calls are sent
  // once.
  Out.Idempotent_ = textField(Document, "kind") == "safe";
  Out.Priority_ =
      priorityOf(countField(Document, "priority").value_or(FirstNormalRank));
  Out.Objective_ = millisField(Document, "latency-objective-ms");
  const auto Timeout = millisField(Document, "timeout-ms");
  if (Timeout > model::milliseconds(0))
    Out.Deadline_ = Timeout;
  const Json *IsPublic = findField(Document, "public");
  if (IsPublic && IsPublic->is_boolean() && IsPublic->get<bool>())
    Out.Public_ = true;
  Out.MaxAttempts_ = static_cast<unsigned>(
      std::max<std::uint64_t>(countField(Document, "attempts").value_or(1), 1));
  return Out;
}

void readServices(const Json &Document, model::Preset &Out) {
  const Json *Services = findField(Document, "services");
  if (!Services || !Services->is_array())
    return;
  for (const Json &Service : *Services) {
    const auto Name = textField(Service, "name");
    if (!Name)
      continue;
    Out.Services_.push_back(
        {*Name, textField(Service, "health-check-path").value_or(""),
         std::max(numberField(Service, "cold-per-s").value_or(0), 0.0),
         static_cast<unsigned>(std::min<std::uint64_t>(
             countField(Service, "connection-limit").value_or(0),
             std::numeric_limits<unsigned>::max()))});
  }
}

/// Reads a limit; 0 when it is absent or cannot be read.
std::uint64_t readLimit(const Json &Limits, const char *Name,
                        model::Problems &Found) {
  const auto Limit = countField(Limits, Name);
  if (!Limit && findField(Limits, Name))
    Found.push_back({std::string("configuration/limits/") + Name,
                     "has the wrong type; the limit does not hold"});
  return Limit.value_or(0);
}

/// Reads the limits. Those that are absent or cannot be read do not hold, apart
/// from the process's own.
void readLimits(const Json &Document, model::Preset &Out,
                model::Problems &Found) {
  const Json *Listed = findField(Document, "limits");
  const Json Limits = Listed ? *Listed : Json::object();
  Out.Callers_.HeaderBytes_ = static_cast<unsigned>(
      std::min<std::uint64_t>(readLimit(Limits, "max-header-bytes", Found),
                              std::numeric_limits<unsigned>::max()));
  Out.Callers_.HeadTimeout_ = millisField(Limits, "header-timeout-ms");
  Out.Callers_.IdleTimeout_ = millisField(Limits, "idle-timeout-ms");
  const std::uint64_t BodyBytes = readLimit(Limits, "max-body-bytes", Found);
  for (model::Route &Route : Out.Routes_)
    Route.MaxBodyBytes_ =
        BodyBytes > 0 ? BodyBytes : std::numeric_limits<std::uint64_t>::max();
}

/// Reads a number of 0 or more. Without one, 0 is returned; another value is a
/// problem.
double readRate(const Json &Object, const char *Name, const std::string &Path,
                model::Problems &Found) {
  const Json *Listed = findField(Object, Name);
  if (!Listed)
    return 0;
  const double Rate = numberField(Object, Name).value_or(-1);
  if (Rate >= 0)
    return Rate;
  Found.push_back(
      {Path + "/" + Name, "must be a number of 0 or more; it is taken as 0"});
  return 0;
}

/// Reads the quota of a workspace. A rate that is 0, absent or unreadable is no
/// limit: a mistake in one number must not refuse all calls of a workspace.
std::optional<model::CallQuota>
readQuota(const Json &Tenant, const std::string &Path, model::Problems &Found) {
  const model::CallQuota Read{readRate(Tenant, "requests-per-s", Path, Found),
                              readRate(Tenant, "burst", Path, Found)};
  if (Read.RequestsPerSecond_ > 0)
    return Read;
  return std::nullopt;
}

/// Reads the workspaces of a configuration one after the other.
class WorkspaceReader {
public:
  explicit WorkspaceReader(model::Problems &Found) : Found_(Found) {}

  /// \param Path JSON path of the workspace in the document.
  void read(const Json &Tenant, const std::string &Path) {
    model::Workspace Read;
    Read.Name_ = textField(Tenant, "name").value_or("");
    if (!model::isWorkspaceName(Read.Name_) ||
        !Names_.insert(Read.Name_).second) {
      Found_.push_back({Path, "name is missing, not visible ASCII characters "
                              "or used twice; the workspace is left out"});
      return;
    }
    const Json *Keys = findField(Tenant, "api-keys");
    if (Keys && Keys->is_array())
      addKeys(*Keys, Path, Read);
    else
      Found_.push_back({Path, "api-keys is missing or has the wrong type"});
    Read.Quota_ = readQuota(Tenant, Path, Found_);
    Workspaces_.push_back(std::move(Read));
  }

  std::vector<model::Workspace> take() { return std::move(Workspaces_); }

private:
  /// Adds the digests of a workspace's keys. One problem is reported for all
  /// that are left out, as there may be many.
  void addKeys(const Json &Keys, const std::string &Path,
               model::Workspace &Out) {
    for (const Json &Key : Keys) {
      if (!Key.is_string())
        continue;
      const std::string Digest =
          codec::keyDigest(Key.get_ref<const std::string &>());
      if (Digests_.insert(Digest).second)
        Out.KeyDigests_.push_back(Digest);
    }
    const std::size_t LeftOut = Keys.size() - Out.KeyDigests_.size();
    if (LeftOut > 0)
      Found_.push_back({Path, std::to_string(LeftOut) +
                                  " keys are not text or are used twice; they "
                                  "are left out"});
  }

  model::Problems &Found_;
  std::vector<model::Workspace> Workspaces_;
  std::set<std::string> Names_;
  std::set<std::string> Digests_;
};

/// Reads the workspaces. Keys are required when the document has a list of
/// them, even one that is empty or cannot be read.
void readWorkspaces(const Json &Document, model::Preset &Out,
                    model::Problems &Found) {
  const Json *Tenants = findField(Document, "tenants");
  if (!Tenants)
    return;
  Out.KeysRequired_ = true;
  if (!Tenants->is_array()) {
    Found.push_back(
        {"configuration/tenants", "has the wrong type; no key is valid"});
    return;
  }
  WorkspaceReader Reader(Found);
  for (std::size_t I = 0; I < Tenants->size(); ++I)
    Reader.read((*Tenants)[I], "configuration/tenants/" + std::to_string(I));
  Out.Workspaces_ = Reader.take();
}

} // namespace

std::optional<ports::ListedConfiguration>
readConfiguration(std::string_view Document, const model::Preset &Base,
                  model::Problems &Found) {
  const Json Parsed = parseDocument(Document);
  const auto Version = countField(Parsed, "version");
  const Json *Routes = findField(Parsed, "routes");
  if (!Version || !Routes || !Routes->is_array()) {
    Found.push_back({"configuration",
                     "version or routes is missing or has the wrong type"});
    return std::nullopt;
  }
  const std::size_t FoundBefore = Found.size();
  ports::ListedConfiguration Out{*Version, Base};
  Out.Preset_.Name_ = "version " + std::to_string(*Version);
  Out.Preset_.Routes_.clear();
  for (std::size_t I = 0; I < Routes->size(); ++I) {
    if (auto Route = readRoute((*Routes)[I]))
      Out.Preset_.Routes_.push_back(std::move(*Route));
    else
      Found.push_back(
          {"configuration/routes/" + std::to_string(I),
           "host, prefix or service is missing or has the wrong type; "
           "the route is left out"});
  }
  readWorkspaces(Parsed, Out.Preset_, Found);
  readServices(Parsed, Out.Preset_);
  readLimits(Parsed, Out.Preset_, Found);
  if (Found.size() > FoundBefore)
    Out.Preset_.Incomplete_ = true;
  return Out;
}

} // namespace cumingauge::platform
