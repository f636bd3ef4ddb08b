#include "traffic/workspacekeys.h"
#include "codec/keydigest.h"
#include <boost/algorithm/string/predicate.hpp>
#include <optional>

namespace cumingauge::traffic {

using model::ResultCode;

namespace {

/// Returns the key in credentials such as "Bearer KEY", or nothing when they
/// have another scheme or another form.
std::optional<std::string_view> readKey(std::string_view Credentials,
                                        std::string_view Scheme) {
  if (Credentials.size() <= Scheme.size() ||
      Credentials[Scheme.size()] != ' ' ||
      !boost::algorithm::iequals(Credentials.substr(0, Scheme.size()), Scheme))
    return std::nullopt;
  const std::size_t Start = Credentials.find_first_not_of(' ', Scheme.size());
  if (Start == std::string_view::npos)
    return std::nullopt;
  const std::string_view Key = Credentials.substr(Start);
  if (Key.find_first_of(" \t,") != std::string_view::npos)
    return std::nullopt;
  return Key;
}

} // namespace

WorkspaceKeys::WorkspaceKeys(const model::Workspaces &Workspaces)
    : Workspaces_(Workspaces) {
  for (const model::Workspace &Each : *Workspaces_)
    for (const std::string &Digest : Each.KeyDigests_)
      ByDigest_.emplace(Digest, &Each);
}

const model::Workspace *WorkspaceKeys::find(std::string_view Key) const {
  if (ByDigest_.empty())
    return nullptr;
  const auto Found = ByDigest_.find(codec::keyDigest(Key));
  return Found == ByDigest_.end() ? nullptr : Found->second;
}

CallerIdentity identifyCaller(const WorkspaceKeys &Keys,
                              std::string_view Scheme, const RequestHead &Head,
                              bool KeyRequired) {
  CallerIdentity Out;
  if (Keys.isEmpty() && !KeyRequired) {
    Out.PassesCredentials_ = true;
    return Out;
  }
  // With two fields it would be open which of them counts.
  const auto Key = Head.Credentials_.size() == 1
                       ? readKey(Head.Credentials_.front(), Scheme)
                       : std::nullopt;
  const model::Workspace *Found = Key ? Keys.find(*Key) : nullptr;
  if (Found) {
    Out.Workspace_ = Found->Name_;
    Out.HasQuota_ = Found->Quota_.has_value();
  } else if (KeyRequired)
    Out.Reason_ =
        Key ? ResultCode::RequestKeyUnknown : ResultCode::RequestKeyMissing;
  return Out;
}

} // namespace cumingauge::traffic
