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

void printSummary(std::ostream &Out, const FleetSummary &Sum) {
  Out << "version " << Sum.NewestVersion_ << " in force on " << Sum.VmsAtNewest_
      << " of " << Sum.ExpectedVms_ << " VMs";
  if (Sum.AnsweredVms_ < Sum.ExpectedVms_)
    Out << "; " << Sum.ExpectedVms_ - Sum.AnsweredVms_ << " do not answer";
  if (Sum.VmsWithoutStore_ > 0)
    Out << "; store away for " << Sum.VmsWithoutStore_;
  Out << "\n\n";
}

void printLeaving(std::ostream &Out, const FleetSummary &Sum) {
  if (Sum.Leaving_.empty())
    return;
  Table Leaving{{"LEAVING SERVER", "VM", "CALLS IN FLIGHT", "ON VMS",
                 "NO NEW WORK FROM", "SWITCH OFF"},
                {}};
  for (const LeavingSummary &Server : Sum.Leaving_)
    Leaving.Rows_.push_back({Server.Server_, Server.Vm_,
                             std::to_string(Server.InFlight_),
                             std::to_string(Server.BusyVms_),
                             std::to_string(Server.LeavingOnVms_) + " of " +
                                 std::to_string(Sum.ExpectedVms_) + " VMs",
                             Server.SafeToSwitchOff_ ? "safe now" : "not yet"});
  Out << "\n";
  print(Out, Leaving);
}

} // namespace

CommandResult showStatus(const Context &With) {
  const std::vector<ProcessReply> Replies = askFleet(With.Settings_, {});
  const FleetSummary Sum = summarize(Replies);
  if (With.Json_) {
    Json Out{{"summary", codec::toJson(Sum)}, {"processes", Json::array()}};
    for (const ProcessReply &Reply : Replies)
      Out["processes"].push_back(replyJson(Reply));
    With.Out_ << printable(Out) << "\n";
  } else {
    printSummary(With.Out_, Sum);
    Table Vms{{"VM", "ZONE", "VERSION", "PRESET", "VIEW AGE", "STATE",
               "CONFIRMED", "STORE", "LINKS"},
              {}};
    for (const ProcessReply &Reply : Replies)
      Vms.Rows_.push_back(rowOf(Reply));
    print(With.Out_, Vms);
    printLeaving(With.Out_, Sum);
  }
  if (Sum.AnsweredVms_ > 0)
    return ResultCode::Ok;
  return Replies.empty() ? ResultCode::PeerUnreachable : Replies[0].Code_;
}

} // namespace cumingauge::ctl
