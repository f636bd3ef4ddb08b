#pragma once

#include "model/callquota.h"
#include "model/describe.h"
#include "model/problem.h"
#include "model/shared.h"
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::model {

/// A group of callers that prove by a key that they belong together.
struct Workspace {
  /// Told to backend servers in a header field.
  std::string Name_;
  /// First 128 bits of the SHA-256 digest of each of its keys, in lowercase
  /// hexadecimal.
  std::vector<std::string> KeyDigests_;
  /// Bound on the calls that the whole fleet starts for it; absent: none.
  std::optional<CallQuota> Quota_;
};
BOOST_DESCRIBE_STRUCT(Workspace, (), (Name_, KeyDigests_, Quota_))

using Workspaces = Shared<std::vector<Workspace>>;

/// Returns whether a name can be written into a header field.
bool isWorkspaceName(const std::string &Name);

/// Checks that names can be written into a header field, that digests have the
/// right form, and that neither occurs twice. Returns the problems
/// found.
/// \param Path JSON path of the list in its document.
Problems checkWorkspaces(const std::vector<Workspace> &Values,
                         const std::string &Path);

} // namespace cumingauge::model
