#pragma once

#include "control/core.h"
#include "control/linktable.h"

/// Keeps the links to the chosen peers open, closes those no longer wanted,
/// and tries seeds and dead members from time to time, so that parts of the
/// fleet that lost each other meet again.
namespace cumingauge::control {

struct CoreState;

void takeLinkOpened(CoreState &State, const LinkOpened &Input);
void takeLinkClosed(CoreState &State, const LinkClosed &Input);
void takeLinkFailed(CoreState &State, const LinkFailed &Input);

/// Opens and closes what is due. To be called at every tick.
void keepLinks(CoreState &State);

} // namespace cumingauge::control
