#include "ctlsettings.h"
#include "adapters/peerhandshake.h"

namespace cumingauge::ctl {

namespace {

void checkPositive(model::milliseconds Value, const std::string &Path,
                   model::Problems &Found) {
  if (Value <= model::milliseconds::zero())
    Found.push_back({Path, "must be above 0"});
}

} // namespace

model::Problems checkSettings(const CtlSettings &Settings) {
  model::Problems Found;
  if (Settings.Key_.size() < adapters::MinKeyBytes)
    Found.push_back({"/key", "must have at least " +
                                 std::to_string(adapters::MinKeyBytes) +
                                 " bytes"});
  if (Settings.Author_.empty())
    Found.push_back({"/author", "must not be empty"});
  checkPositive(Settings.ChangeTimeout_, "/changeTimeoutMs", Found);
  checkPositive(Settings.PeerTimeout_, "/peerTimeoutMs", Found);
  checkPositive(Settings.WaitTimeout_, "/waitTimeoutMs", Found);
  return Found;
}

} // namespace cumingauge::ctl
