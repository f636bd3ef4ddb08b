#include "fleetsummary.h"
#include <algorithm>
#include <map>
#include <utility>

namespace cumingauge::ctl {

namespace {

using ServerKey = std::pair<std::string, std::string>; // name, VM

void addServers(const model::ProcessStatus &Status,
                std::map<ServerKey, LeavingSummary> &Servers) {
  for (const model::ServerActivity &Activity : Status.Servers_) {
    LeavingSummary &Summary = Servers[{Activity.Server_, Activity.Vm_}];
    Summary.Server_ = Activity.Server_;
    Summary.Vm_ = Activity.Vm_;
    Summary.InFlight_ += Activity.InFlight_;
    Summary.BusyVms_ += Activity.InFlight_ > 0 ? 1 : 0;
    Summary.LeavingOnVms_ += Activity.Leaving_ ? 1 : 0;
  }
}

} // namespace

FleetSummary summarize(const std::vector<ProcessReply> &Replies) {
  FleetSummary Out;
  std::map<ServerKey, LeavingSummary> Servers;
  Out.ExpectedVms_ = static_cast<unsigned>(Replies.size());
  for (const ProcessReply &Reply : Replies) {
    if (!Reply.Status_)
      continue;
    const model::ProcessStatus &Status = *Reply.Status_;
    ++Out.AnsweredVms_;
    Out.ExpectedVms_ = std::max(Out.ExpectedVms_, Status.FleetSize_);
    Out.NewestVersion_ = std::max(Out.NewestVersion_, Status.Version_);
    Out.Presets_.insert(Status.Preset_);
    Out.VmsWithoutStore_ += Status.StoreAway_ ? 1 : 0;
    for (const std::string &Zone : Status.EvacuatedZones_)
      ++Out.EvacuatedZones_[Zone];
    addServers(Status, Servers);
  }
  for (const ProcessReply &Reply : Replies)
    if (Reply.Status_ && Reply.Status_->Version_ == Out.NewestVersion_)
      ++Out.VmsAtNewest_;
  for (auto &[Key, Summary] : Servers) {
    Summary.SafeToSwitchOff_ =
        Summary.InFlight_ == 0 && Summary.LeavingOnVms_ >= Out.ExpectedVms_;
    if (Summary.LeavingOnVms_ > 0)
      Out.Leaving_.push_back(Summary);
  }
  return Out;
}

} // namespace cumingauge::ctl
