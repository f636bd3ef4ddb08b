#pragma once

#include "ports/directory.h"

/// Announces this process in the directory and follows its list of members.
namespace cumingauge::control {

struct CoreState;

/// Issues the next call about the members when it is due.
void followMembers(CoreState &State);

/// Handles the response to a call about the members.
void handleMembersResponse(CoreState &State,
                           const ports::DirectoryResponse &Response);

} // namespace cumingauge::control
