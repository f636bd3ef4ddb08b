#include "policy/coldservers.h"
#include "policy/members.h"
#include <algorithm>
#include <cmath>
#include <tuple>
#define XXH_INLINE_ALL // the CMake package has no target to link
#include <xxhash.h>

namespace cumingauge::policy {

namespace {

/// Number of different sets of users that the limit of a cold server leaves
/// room for, such as in two halves of a fleet with different member lists.
constexpr double SetsOfUsers = 2;

/// A thread's place among those that may use a server; the lowest places are
/// the users. Threads of the server's own zone come first.
using Place = std::tuple<bool, std::uint64_t>;

Place placeOf(const model::ProcessPlace &Process, unsigned Thread,
              const model::BackendServer &Server) {
  const std::string Key = identityKey(Server.Name_, Server.Vm_) + '\0' +
                          Process.Process_ + '\0' + std::to_string(Thread);
  return {Process.Zone_ != Server.Zone_, XXH64(Key.data(), Key.size(), 0)};
}

/// Returns the allowance of this thread when all users have \p Calls together.
unsigned allowanceOf(const BalancerState &State,
                     const model::BackendServer &Server, unsigned Calls) {
  const model::ControlView &View = *State.View_;
  if (!View.Processes_)
    return 0;
  const auto &All = *View.Processes_;
  const auto Self = std::find_if(All.begin(), All.end(), [&](const auto &Each) {
    return Each.Process_ == View.Process_;
  });
  const auto Threads = static_cast<unsigned>(All.size()) * State.Threads_;
  const unsigned Users = std::min(Calls, Threads);
  if (Self == All.end() || Users == 0)
    return 0;
  const Place Own = placeOf(*Self, State.Thread_.value_or(0), Server);
  unsigned Before = 0;
  for (const model::ProcessPlace &Each : All)
    for (unsigned Thread = 0; Thread < State.Threads_ && Before < Users;
         ++Thread)
      Before += placeOf(Each, Thread, Server) < Own;
  return Before < Users ? Calls / Users : 0;
}

void selectAllowance(BalancerState &State, ServerRecord &Server) {
  const auto Calls =
      coldCallsInInterval(State.Preset_, Server.Server_.Service_);
  Server.ColdAllowance_ =
      Calls ? allowanceOf(State, Server.Server_, *Calls) : 0;
}

} // namespace

model::Duration coldCallInterval(const model::Preset &Preset) {
  return model::seconds(1) + Preset.Servers_.ConnectTimeout_;
}

std::optional<unsigned> coldCallsInInterval(const model::Preset &Preset,
                                            const std::string &Service) {
  const model::ServiceRule *Rule = model::findServiceRule(Preset, Service);
  if (!Rule || Rule->ColdCallsPerSecond_ <= 0)
    return std::nullopt;
  const double Limit =
      Rule->ColdCallsPerSecond_ * Preset.Cold_.Overshoot_ + Preset.Cold_.Slack_;
  return static_cast<unsigned>(
      std::min(std::max(std::floor(Rule->ColdCallsPerSecond_), 1.0),
               std::floor(Limit / SetsOfUsers)));
}

bool isLimitedByCold(const BalancerState &State, const ServerRecord &Server,
                     model::TimePoint Now) {
  return Now < Server.ColdUntil_ &&
         coldCallsInInterval(State.Preset_, Server.Server_.Service_)
             .has_value();
}

bool isClosedByCold(const BalancerState &State, const ServerRecord &Server,
                    model::TimePoint Now) {
  return Server.ColdAllowance_ == 0 && isLimitedByCold(State, Server, Now);
}

bool isColdCallDue(const BalancerState &State, const ServerRecord &Server,
                   model::TimePoint Now) {
  if (Now >= Server.ColdUntil_ || !isLimitedByCold(State, Server, Now))
    return true;
  const model::Duration Interval = coldCallInterval(State.Preset_);
  // A process that was restarted does not know when its last call was.
  return Server.ColdAllowance_ > 0 && Now - State.StartedAt_ >= Interval &&
         Now - lastSend(Server.Report_) >= Interval / Server.ColdAllowance_;
}

bool recordCold(BalancerState &State, ServerHandle Server,
                model::Duration ColdFor, model::TimePoint Now) {
  ServerRecord &Record = State.Servers_.at(Server);
  const bool WasCold = Now < Record.ColdUntil_;
  Record.ColdUntil_ = std::max(Record.ColdUntil_, Now + ColdFor);
  Record.RampStart_ = Record.ColdUntil_ - State.Preset_.Ejection_.SlowStart_;
  if (WasCold || Now >= Record.ColdUntil_)
    return false;
  selectAllowance(State, Record);
  State.Cold_.push_back(Server);
  return true;
}

void updateColdUsers(BalancerState &State) {
  for (const ServerHandle Server : State.Cold_)
    selectAllowance(State, State.Servers_[Server]);
}

ColdCounts countCold(const BalancerState &State, model::TimePoint Now) {
  ColdCounts Out;
  for (const ServerHandle Handle : State.Cold_) {
    const ServerRecord &Server = State.Servers_[Handle];
    Out.Limited_ += isLimitedByCold(State, Server, Now);
    Out.Closed_ += isClosedByCold(State, Server, Now);
  }
  return Out;
}

std::vector<ServerHandle> endColdPhases(BalancerState &State,
                                        model::TimePoint Now) {
  auto &Cold = State.Cold_;
  const auto First =
      std::stable_partition(Cold.begin(), Cold.end(), [&](ServerHandle Handle) {
        return Now < State.Servers_[Handle].ColdUntil_;
      });
  std::vector<ServerHandle> Ended(First, Cold.end());
  Cold.erase(First, Cold.end());
  for (const ServerHandle Handle : Ended)
    updateMembers(State, State.Services_[State.Servers_[Handle].Service_], Now);
  return Ended;
}

} // namespace cumingauge::policy
