#pragma once

#include "context.h"
#include "model/backendserver.h"
#include "model/preset.h"
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// A deployment as one document, for `init`.
struct DeploymentDocument {
  std::vector<model::Preset> Presets_;
  std::vector<model::BackendServer> Servers_;
  std::string Choose_; ///< preset to put in force; empty leaves it
};
BOOST_DESCRIBE_STRUCT(DeploymentDocument, (), (Presets_, Servers_, Choose_))

/// Readers of operators' files. They fail with a CtlError that names every
/// fault with its path.
boost::leaf::result<model::Preset> readPreset(const std::string &File);

/// One server or a list of servers.
boost::leaf::result<std::vector<model::BackendServer>>
readServers(const std::string &File);

boost::leaf::result<DeploymentDocument> readDeployment(const std::string &File);

} // namespace cumingauge::ctl
