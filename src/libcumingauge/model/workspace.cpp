#include "model/workspace.h"
#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace cumingauge::model {

namespace {

constexpr std::size_t DigestLength = 32; ///< hexadecimal digits

bool isDigest(const std::string &Text) {
  return Text.size() == DigestLength &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Whether a number of calls is finite and not negative.
bool isCallCount(double Value) { return std::isfinite(Value) && Value >= 0; }

void checkQuota(const CallQuota &Value, const std::string &Path,
                Problems &Found) {
  if (!isCallCount(Value.RequestsPerSecond_))
    Found.push_back({Path + "/requestsPerSecond", "must be 0 or more"});
  if (!isCallCount(Value.Burst_))
    Found.push_back({Path + "/burst", "must be 0 or more"});
}

} // namespace

bool isWorkspaceName(const std::string &Name) {
  return !Name.empty() &&
         std::all_of(Name.begin(), Name.end(),
                     [](char Letter) { return Letter > ' ' && Letter <= '~'; });
}

Problems checkWorkspaces(const std::vector<Workspace> &Values,
                         const std::string &Path) {
  Problems Found;
  std::set<std::string_view> Names;
  std::set<std::string_view> Digests;
  for (std::size_t I = 0; I < Values.size(); ++I) {
    const std::string OwnPath = Path + "/" + std::to_string(I);
    if (!isWorkspaceName(Values[I].Name_))
      Found.push_back({OwnPath + "/name", "must be visible ASCII characters"});
    if (!Names.insert(Values[I].Name_).second)
      Found.push_back({OwnPath + "/name", "is used by an earlier workspace"});
    if (Values[I].Quota_)
      checkQuota(*Values[I].Quota_, OwnPath + "/quota", Found);
    for (const std::string &Digest : Values[I].KeyDigests_) {
      if (!isDigest(Digest))
        Found.push_back({OwnPath + "/keyDigests",
                         "must be 32 lowercase hexadecimal digits each"});
      if (!Digests.insert(Digest).second)
        Found.push_back({OwnPath + "/keyDigests", "has a digest twice, or one "
                                                  "of an earlier workspace"});
    }
  }
  return Found;
}

} // namespace cumingauge::model
