#pragma once

#include "model/resultcode.h"
#include "model/workspace.h"
#include "traffic/messagehead.h"
#include <boost/describe.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cumingauge::traffic {

using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;

/// The keys of a preset's workspaces. Only digests are kept and compared, so
/// that neither memory nor the time of a look-up tells a key.
class WorkspaceKeys {
public:
  WorkspaceKeys() = default;
  explicit WorkspaceKeys(const model::Workspaces &Workspaces);

  bool isEmpty() const { return ByDigest_.empty(); }

  /// Returns whether these are the keys of just these workspaces.
  bool isFor(const model::Workspaces &Workspaces) const {
    return Workspaces_.isSameObject(Workspaces);
  }

  /// Returns the workspace that has this key, or null.
  const model::Workspace *find(std::string_view Key) const;

private:
  model::Workspaces Workspaces_;
  /// Refers to the digests in Workspaces_.
  std::unordered_map<std::string_view, const model::Workspace *> ByDigest_;
};

/// Whose call a request is.
struct CallerIdentity {
  /// Ok, RequestKeyMissing or RequestKeyUnknown.
  model::ResultCode Reason_ = model::ResultCode::Ok;
  std::string Workspace_; ///< empty: none is known
  bool HasQuota_ = false; ///< the workspace's calls need credit
  /// The request's credentials are not meant for this process and are passed
  /// on.
  bool PassesCredentials_ = false;
};
BOOST_DESCRIBE_STRUCT(CallerIdentity, (),
                      (Reason_, Workspace_, HasQuota_, PassesCredentials_))

/// Determines the workspace of a request from its credentials.
/// \param Scheme authentication scheme of credentials with a key.
/// \param KeyRequired whether a request without a known key is refused.
CallerIdentity identifyCaller(const WorkspaceKeys &Keys,
                              std::string_view Scheme, const RequestHead &Head,
                              bool KeyRequired);

} // namespace cumingauge::traffic
