#pragma once

#include "model/configstate.h"
#include "ports/directory.h"
#include <string>

/// Follows the operators' configuration and the zones that they evacuate in the
/// directory.
namespace cumingauge::control {

struct CoreState;

/// Issues the next call about the configuration when it is due.
void followConfiguration(CoreState &State);

/// Handles the response to a read or a watch of the configuration.
void handleConfigurationResponse(CoreState &State,
                                 const ports::DirectoryResponse &Response);

/// Returns whether a response to a watch or a poll holds changes by operators.
bool hasOperatorChanges(const ports::DirectoryResponse &Response);

/// Applies the changes by operators in the response to a watch or a poll.
void applyOperatorChanges(CoreState &State,
                          const ports::DirectoryResponse &Response);

/// Applies a configuration that a call or a peer has reported. An older version
/// than the one in use is ignored with an alarm.
/// \param Source the peer's process, or "directory" for a call of this process.
void applyConfiguration(CoreState &State,
                        const ports::ListedConfiguration &Read,
                        const std::string &Source);

/// Replaces the configuration in use by \p Next with the servers that the
/// directory lists.
void rebuildState(CoreState &State, model::ConfigState Next);

} // namespace cumingauge::control
