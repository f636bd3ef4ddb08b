#include "statuscommand.h"
#include "codec/describedjson.h"
#include "fleetclient.h"
#include "fleetsummary.h"
#include "table.h"
#include "text.h"
#include <ostream>

namespace cumingauge::ctl {

namespace {

using codec::Json;
using model::ResultCode;

std::string addressText(const adapters::AddressSettings &Address) {
  return Address.Host_ + ":" + std::to_string(Address.Port_);
}

Json replyJson(const ProcessReply &Reply) {
  Json Out{{"address", addressText(Reply.Address_)},
           {"process", Reply.Process_},
           {"code", static_cast<int>(Reply.Code_)},
           {"name", model::nameOf(Reply.Code_)}};
  if (Reply.Status_)
    Out["status"] = codec::toJson(*Reply.Status_);
  return Out;
}

std::vector<std::string> rowOf(const ProcessReply &Reply) {
  const std::string Name =
      Reply.Process_.empty() ? addressText(Reply.Address_) : Reply.Process_;
  if (!Reply.Status_)
    return {Name, Reply.Zone_, "no answer",
            std::string(model::nameOf(Reply.Code_))};
  const model::ProcessStatus &Status = *Reply.Status_;
  return {Name,
          Status.Zone_,
          std::to_string(Status.Version_),
          Status.Preset_,
          durationText(Status.ViewAgeMs_),
          Status.Ready_ ? "ready" : "not ready",
          Status.Confirmed_ ? "yes" : "from peers only",
          Status.StoreAway_ ? "away" : "reachable",
          std::to_string(Status.Links_)};
}

void printSummary(std::ostream &Out, const FleetSummary &Summary) {
  Out << "version " << Summary.NewestVersion_ << " in force on "
      << Summary.VmsAtNewest_ << " of " << Summary.ExpectedVms_ << " VMs";
  if (Summary.AnsweredVms_ < Summary.ExpectedVms_)
    Out << "; " << Summary.ExpectedVms_ - Summary.AnsweredVms_
        << " do not answer";
  if (Summary.VmsWithoutStore_ > 0)
    Out << "; store away for " << Summary.VmsWithoutStore_;
  Out << "\n\n";
}

void printLeaving(std::ostream &Out, const FleetSummary &Summary) {
  if (Summary.Leaving_.empty())
    return;
  Table Leaving{{"LEAVING SERVER", "VM", "CALLS IN FLIGHT", "ON VMS",
                 "NO NEW WORK FROM", "SWITCH OFF"},
                {}};
  for (const LeavingSummary &Server : Summary.Leaving_)
    Leaving.Rows_.push_back({Server.Server_, Server.Vm_,
                             std::to_string(Server.InFlight_),
                             std::to_string(Server.BusyVms_),
                             std::to_string(Server.LeavingOnVms_) + " of " +
                                 std::to_string(Summary.ExpectedVms_) + " VMs",
                             Server.SafeToSwitchOff_ ? "safe now" : "not yet"});
  Out << "\n";
  print(Out, Leaving);
}

void printEvacuated(std::ostream &Out, const FleetSummary &Summary) {
  if (Summary.EvacuatedZones_.empty())
    return;
  Table Zones{{"EVACUATED ZONE", "NO NEW WORK FROM"}, {}};
  for (const auto &[Zone, Vms] : Summary.EvacuatedZones_)
    Zones.Rows_.push_back({Zone, std::to_string(Vms) + " of " +
                                     std::to_string(Summary.ExpectedVms_) +
                                     " VMs"});
  Out << "\n";
  print(Out, Zones);
}

} // namespace

CommandResult showStatus(const Context &Ctx) {
  const std::vector<ProcessReply> Replies = queryFleet(Ctx.Settings_, {});
  const FleetSummary Summary = summarize(Replies);
  if (Ctx.Json_) {
    Json Out{{"summary", codec::toJson(Summary)}, {"processes", Json::array()}};
    for (const ProcessReply &Reply : Replies)
      Out["processes"].push_back(replyJson(Reply));
    Ctx.Out_ << printable(Out) << "\n";
  } else {
    printSummary(Ctx.Out_, Summary);
    Table Vms{{"VM", "ZONE", "VERSION", "PRESET", "VIEW AGE", "STATE",
               "CONFIRMED", "STORE", "LINKS"},
              {}};
    for (const ProcessReply &Reply : Replies)
      Vms.Rows_.push_back(rowOf(Reply));
    print(Ctx.Out_, Vms);
    printLeaving(Ctx.Out_, Summary);
    printEvacuated(Ctx.Out_, Summary);
  }
  if (Summary.AnsweredVms_ > 0)
    return ResultCode::Ok;
  return Replies.empty() ? ResultCode::PeerUnreachable : Replies[0].Code_;
}

} // namespace cumingauge::ctl
