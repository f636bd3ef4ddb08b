#include "waiting.h"
#include "changecommands.h"
#include <algorithm>
#include <chrono>
#include <ostream>
#include <thread>

namespace cumingauge::ctl {

namespace {

using model::ResultCode;

constexpr model::milliseconds PollPeriod{500};
/// Consecutive polls that must find the change done: a traffic thread may apply
/// a view slightly later than the control thread reports it.
constexpr unsigned RequiredIdlePolls = 2;

model::TimePoint now() { return std::chrono::steady_clock::now(); }

unsigned inFlightAt(const model::ProcessStatus &Status,
                    const WaitTarget &Target) {
  unsigned Out = 0;
  for (const model::ServerActivity &Server : Status.Servers_)
    if (Server.Server_ == Target.Server_ && Server.Vm_ == Target.Vm_)
      Out += Server.InFlight_;
  return Out;
}

std::string progressText(const Progress &Value, std::uint64_t Version,
                         const WaitTarget &Target) {
  std::string Out = "version " + std::to_string(Version) + " in force on " +
                    std::to_string(Value.InForce_) + " of " +
                    std::to_string(Value.Expected_) + " VMs";
  if (Value.Answered_ < Value.Expected_)
    Out += " (" + std::to_string(Value.Expected_ - Value.Answered_) +
           " do not answer)";
  if (!Target.Server_.empty())
    Out += "; calls in flight at " + Target.Server_ + ": " +
           std::to_string(Value.InFlight_) + " on " +
           std::to_string(Value.VmsBusy_) + " VMs";
  return Out;
}

/// Polls the fleet until the change is done or CtlSettings::WaitTimeout_ is
/// over.
ResultCode waitUntilDone(const Context &Ctx, std::uint64_t Version,
                         const WaitTarget &Target) {
  const model::TimePoint Deadline = now() + Ctx.Settings_.WaitTimeout_;
  std::string LastText;
  unsigned IdlePolls = 0;
  while (now() < Deadline) {
    const Progress Now =
        measureProgress(queryFleet(Ctx.Settings_, {}), Version, Target);
    const std::string Text = progressText(Now, Version, Target);
    if (!Ctx.Json_ && Text != LastText)
      Ctx.Out_ << Text << std::endl;
    LastText = Text;
    IdlePolls = isDone(Now) ? IdlePolls + 1 : 0;
    if (IdlePolls >= RequiredIdlePolls)
      return ResultCode::Ok;
    std::this_thread::sleep_for(PollPeriod);
  }
  return ResultCode::WaitTimedOut;
}

} // namespace

Progress measureProgress(const std::vector<ProcessReply> &Replies,
                         std::uint64_t Version, const WaitTarget &Target) {
  Progress Out;
  Out.Expected_ = static_cast<unsigned>(Replies.size());
  for (const ProcessReply &Reply : Replies) {
    if (!Reply.Status_)
      continue;
    ++Out.Answered_;
    // Includes entry VMs of the platform's VM list that are not yet members.
    Out.Expected_ = std::max(Out.Expected_, Reply.Status_->FleetSize_);
    if (Reply.Status_->Version_ >= Version)
      ++Out.InForce_;
    const unsigned InFlight = inFlightAt(*Reply.Status_, Target);
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

CommandResult finishChange(const Context &Ctx,
                           const control::WriteOutcome &Outcome, bool Wait,
                           const WaitTarget &Target) {
  reportOutcome(Ctx, Outcome);
  const auto *Accepted = std::get_if<control::WriteAccepted>(&Outcome);
  if (!Accepted || !Wait)
    return control::codeOf(Outcome);
  const ResultCode Code =
      waitUntilDone(Ctx, Accepted->Change_.Version_, Target);
  if (Code != ResultCode::Ok)
    return fail(
        Code,
        "the change was accepted, but the wait timed out before it was done "
        "on every entry VM");
  if (!Ctx.Json_ && Target.Server_.empty())
    Ctx.Out_ << "in force on every VM\n";
  else if (!Ctx.Json_)
    Ctx.Out_ << "no VM has a call in flight at " << Target.Server_ << " ("
             << Target.Vm_ << "): it can be switched off\n";
  return Code;
}

} // namespace cumingauge::ctl
