#include "control/snapshotwriter.h"
#include "control/corestate.h"

namespace cumingauge::control {

void writeSnapshots(CoreState & /*State*/) {}

bool takeSnapshotAnswer(CoreState & /*State*/, StoreCallId /*Call*/,
                        const ports::StoreResponse & /*Answer*/) {
  return false;
}

} // namespace cumingauge::control
