#include "timelinecommand.h"
#include "codec/describedjson.h"
#include "fleetclient.h"
#include "table.h"
#include "text.h"
#include "timelinepage.h"
#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>

namespace cumingauge::ctl {

namespace {

using codec::Json;
using model::Event;
using model::ResultCode;

/// Returns true for an event with the change's id as subject or its version.
bool concernsChange(const Event &Value, const std::string &Change) {
  return Value.Subject_ == Change ||
         (Value.Version_ != 0 && std::to_string(Value.Version_) == Change);
}

bool matchesFilter(const Event &Value, const TimelineFilter &Filter) {
  return (Filter.Vm_.empty() || Value.Process_ == Filter.Vm_) &&
         (Filter.Server_.empty() || Value.Subject_ == Filter.Server_) &&
         (Filter.Change_.empty() || concernsChange(Value, Filter.Change_)) &&
         (Filter.Kind_.empty() || enumText(Value.Kind_) == Filter.Kind_) &&
         Value.At_.WallMs_ >= Filter.SinceMs_;
}

bool isEarlier(const Event &Left, const Event &Right) {
  if (Left.At_ != Right.At_)
    return Left.At_ < Right.At_;
  return Left.Process_ < Right.Process_;
}

/// Events of all replies, with what is missing from them.
struct CollectedEvents {
  std::vector<Event> Events_;
  std::vector<std::string> Unanswered_; ///< processes that did not answer
  std::uint64_t Dropped_ = 0; ///< events that the processes no longer keep
};

CollectedEvents collectEvents(const std::vector<ProcessReply> &Replies) {
  CollectedEvents Out;
  for (const ProcessReply &Reply : Replies) {
    Out.Events_.insert(Out.Events_.end(), Reply.Events_.begin(),
                       Reply.Events_.end());
    Out.Dropped_ += Reply.DroppedEvents_;
    if (!Reply.Status_)
      Out.Unanswered_.push_back(Reply.Process_.empty()
                                    ? Reply.Address_.Host_ + ":" +
                                          std::to_string(Reply.Address_.Port_)
                                    : Reply.Process_);
  }
  return Out;
}

Json collectedEventsJson(const CollectedEvents &Value) {
  return {{"events", codec::toJson(Value.Events_)},
          {"silent", Value.Unanswered_},
          {"dropped", Value.Dropped_}};
}

void printText(std::ostream &Out, const CollectedEvents &Value) {
  Table Lines{{"TIME", "VM", "EVENT", "SUBJECT", "VERSION", "REASON", "DETAIL"},
              {}};
  for (const Event &Item : Value.Events_)
    Lines.Rows_.push_back(
        {timeText(Item.At_.WallMs_) + "+" + std::to_string(Item.At_.Counter_),
         Item.Process_, enumText(Item.Kind_), Item.Subject_,
         Item.Version_ ? std::to_string(Item.Version_) : "",
         Item.Reason_ == ResultCode::Ok
             ? ""
             : std::string(model::nameOf(Item.Reason_)),
         Item.Detail_});
  print(Out, Lines);
  for (const std::string &Name : Value.Unanswered_)
    Out << "no answer from " << Name << "\n";
  if (Value.Dropped_ > 0)
    Out << Value.Dropped_ << " older events are no longer kept\n";
}

} // namespace

std::vector<Event> filterAndSort(std::vector<Event> Events,
                                 const TimelineFilter &Filter) {
  std::vector<Event> Out;
  std::copy_if(
      std::make_move_iterator(Events.begin()),
      std::make_move_iterator(Events.end()), std::back_inserter(Out),
      [&](const Event &Value) { return matchesFilter(Value, Filter); });
  std::sort(Out.begin(), Out.end(), isEarlier);
  return Out;
}

boost::leaf::result<std::uint64_t> parseSince(const std::string &Text,
                                              std::uint64_t NowMs) {
  const std::size_t Digits = Text.find_first_not_of("0123456789");
  constexpr std::size_t MaxDigits = 9;
  const std::string Unit =
      Digits == std::string::npos ? "" : Text.substr(Digits);
  const std::uint64_t UnitMs = Unit == "s"   ? 1000
                               : Unit == "m" ? 60 * 1000
                               : Unit == "h" ? 60 * 60 * 1000
                                             : 0;
  if (Digits == 0 || Digits > MaxDigits || UnitMs == 0)
    return fail(ResultCode::UsageInvalid,
                "--since takes a duration such as 90s, 15m or 2h");
  const std::uint64_t Ago = std::stoull(Text.substr(0, Digits)) * UnitMs;
  return NowMs > Ago ? NowMs - Ago : 0;
}

CommandResult showTimeline(const Context &Ctx, const TimelineFilter &Filter,
                           const std::string &HtmlFile) {
  FleetQuery Query;
  Query.WithEvents_ = true;
  Query.EventsSinceMs_ = Filter.SinceMs_;
  const std::vector<ProcessReply> Replies = queryFleet(Ctx.Settings_, Query);
  CollectedEvents Found = collectEvents(Replies);
  Found.Events_ = filterAndSort(std::move(Found.Events_), Filter);
  if (!HtmlFile.empty()) {
    std::ofstream Page(HtmlFile);
    Page << timelinePage(collectedEventsJson(Found));
    Page.close();
    if (!Page)
      return fail(ResultCode::SettingsUnreadable,
                  HtmlFile + " cannot be written");
  }
  if (Ctx.Json_)
    Ctx.Out_ << printable(collectedEventsJson(Found)) << "\n";
  else if (HtmlFile.empty())
    printText(Ctx.Out_, Found);
  else
    Ctx.Out_ << Found.Events_.size() << " events in " << HtmlFile << "\n";
  return Found.Unanswered_.size() == Replies.size()
             ? ResultCode::PeerUnreachable
             : ResultCode::Ok;
}

} // namespace cumingauge::ctl
