#include "waiting.h"
#include "changecommands.h"
#include <algorithm>
#include <chrono>
#include <ostream>
#include <thread>

namespace cumingauge::ctl {

namespace {

using model::ResultCode;

constexpr model::milliseconds RoundPeriod{500};
/// Rounds in a row that must find nothing under way: a traffic thread may take
/// a moment to act on a view that the control thread already reports.
constexpr unsigned QuietRounds = 2;

model::TimePoint now() { return std::chrono::steady_clock::now(); }

unsigned inFlightAt(const model::ProcessStatus &Status,
                    const WaitSubject &Subject) {
  unsigned Out = 0;
  for (const model::ServerActivity &Server : Status.Servers_)
    if (Server.Server_ == Subject.Server_ && Server.Vm_ == Subject.Vm_)
      Out += Server.InFlight_;
  return Out;
}

std::string progressText(const Progress &Value, std::uint64_t Version,
                         const WaitSubject &Subject) {
  std::string Out = "version " + std::to_string(Version) + " in force on " +
                    std::to_string(Value.InForce_) + " of " +
                    std::to_string(Value.Expected_) + " VMs";
  if (Value.Answered_ < Value.Expected_)
    Out += " (" + std::to_string(Value.Expected_ - Value.Answered_) +
           " do not answer)";
  if (!Subject.Server_.empty())
    Out += "; calls in flight at " + Subject.Server_ + ": " +
           std::to_string(Value.InFlight_) + " on " +
           std::to_string(Value.VmsBusy_) + " VMs";
  return Out;
}

/// Follows a change until it is done or the time is over.
ResultCode follow(const Context &With, std::uint64_t Version,
                  const WaitSubject &Subject) {
  const model::TimePoint Deadline = now() + With.Settings_.WaitTimeout_;
  std::string Last;
  unsigned Quiet = 0;
  while (now() < Deadline) {
    const Progress Now =
        measureProgress(askFleet(With.Settings_, {}), Version, Subject);
    const std::string Text = progressText(Now, Version, Subject);
    if (!With.Json_ && Text != Last)
      With.Out_ << Text << std::endl;
    Last = Text;
    Quiet = isDone(Now) ? Quiet + 1 : 0;
    if (Quiet >= QuietRounds)
      return ResultCode::Ok;
    std::this_thread::sleep_for(RoundPeriod);
  }
  return ResultCode::WaitTimedOut;
}

} // namespace

Progress measureProgress(const std::vector<ProcessReply> &Replies,
                         std::uint64_t Version, const WaitSubject &Subject) {
  Progress Out;
  Out.Expected_ = static_cast<unsigned>(Replies.size());
  for (const ProcessReply &Reply : Replies) {
    if (!Reply.Status_)
      continue;
    ++Out.Answered_;
    // An entry VM of the platform's list that no member knows counts too.
    Out.Expected_ = std::max(Out.Expected_, Reply.Status_->FleetSize_);
    if (Reply.Status_->Version_ >= Version)
      ++Out.InForce_;
    const unsigned InFlight = inFlightAt(*Reply.Status_, Subject);
    Out.InFlight_ += InFlight;
    if (InFlight > 0)
      ++Out.VmsBusy_;
  }
  return Out;
}

bool isDone(const Progress &Value) {
  return Value.Answered_ > 0 && Value.InForce_ >= Value.Expected_ &&
         Value.InFlight_ == 0;
}

CommandResult concludeChange(const Context &With,
                             const control::WriteOutcome &Outcome, bool Wait,
                             const WaitSubject &Subject) {
  announce(With, Outcome);
  const auto *Accepted = std::get_if<control::WriteAccepted>(&Outcome);
  if (!Accepted || !Wait)
    return control::codeOf(Outcome);
  const ResultCode Code = follow(With, Accepted->Change_.Version_, Subject);
  if (Code != ResultCode::Ok)
    return fail(Code, "the change is accepted, but not yet done everywhere");
  if (!With.Json_ && Subject.Server_.empty())
    With.Out_ << "in force on every VM\n";
  else if (!With.Json_)
    With.Out_ << "no VM has a call in flight at " << Subject.Server_ << " ("
              << Subject.Vm_ << "): it can be switched off\n";
  return Code;
}

} // namespace cumingauge::ctl
