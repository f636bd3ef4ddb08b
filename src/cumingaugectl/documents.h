#pragma once

#include "context.h"
#include "model/backendserver.h"
#include "model/preset.h"
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Presets and servers of a deployment, as read by `init`.
struct DeploymentDocument {
  std::vector<model::Preset> Presets_;
  std::vector<model::BackendServer> Servers_;
  std::string Choose_; ///< preset to put in force; empty for no change
};
BOOST_DESCRIBE_STRUCT(DeploymentDocument, (), (Presets_, Servers_, Choose_))

/// Reads a preset from a JSON file. Like the functions below, it fails with a
/// CtlError that lists every problem with its path in the document.
boost::leaf::result<model::Preset> readPreset(const std::string &File);

/// Reads one server or a list of servers from a JSON file.
boost::leaf::result<std::vector<model::BackendServer>>
readServers(const std::string &File);

/// Reads a deployment from a JSON file and checks its presets.
boost::leaf::result<DeploymentDocument> readDeployment(const std::string &File);

} // namespace cumingauge::ctl
