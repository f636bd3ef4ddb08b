#include "policy/balancer.h"
#include "policy/admission.h"
#include "policy/balancerstate.h"
#include "policy/choice.h"
#include "policy/coldservers.h"
#include "policy/feedback.h"
#include "policy/homes.h"
#include "policy/members.h"
#include "policy/retry.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

ServiceRecord *findService(BalancerState &State, const std::string &Name) {
  const auto Found = State.ServiceByName_.find(Name);
  return Found == State.ServiceByName_.end() ? nullptr
                                             : &State.Services_[Found->second];
}

const ServiceRecord *findService(const BalancerState &State,
                                 const std::string &Name) {
  const auto Found = State.ServiceByName_.find(Name);
  return Found == State.ServiceByName_.end() ? nullptr
                                             : &State.Services_[Found->second];
}

/// Returns the route's limit on attempts, or the preset's when it has none.
unsigned attemptLimit(const BalancerState &State, const CallFacts &Call) {
  return Call.Route_.MaxAttempts_ > 0 ? Call.Route_.MaxAttempts_
                                      : State.Preset_.Retry_.MaxAttempts_;
}

/// Withdrawn attempts of one call after which it is not placed again.
constexpr unsigned MaxWithdrawn = 8;

/// Returns whether an attempt that ended like this leaves room for another one.
bool hasAttemptsLeft(const BalancerState &State, const CallFacts &Call,
                     AttemptEnd End) {
  if (End == AttemptEnd::Withdrawn)
    return Call.Withdrawn_ < MaxWithdrawn;
  return Call.Attempts_ - Call.Withdrawn_ < attemptLimit(State, Call);
}

/// Returns whether nothing of the call has left this process.
bool isUnsent(AttemptEnd End) {
  return End == AttemptEnd::ConnectFailed || End == AttemptEnd::Withdrawn;
}

Decision refuse(model::ResultCode Reason) {
  return {Verdict::Refuse, NoServer, Reason};
}

/// Returns whether calls of the same or a higher priority class are waiting.
bool hasCallsAhead(const AdmissionQueue &Queue, const CallFacts &Call) {
  for (unsigned Class = 0; Class <= classOf(Call); ++Class)
    if (Queue.Classes_[Class].Size_ > 0)
      return true;
  return false;
}

/// Returns whether too little of the call's time is left for a response. A call
/// that still has at least half of its time is sent whatever the mean latency
/// is: after a period of slow responses, nothing else would bring the mean down
/// again.
bool hasWaitedTooLong(const ServiceRecord &Service, const CallFacts &Call,
                      model::TimePoint Now) {
  return Call.Deadline_ - Now < (Call.Deadline_ - Call.Arrived_) / 2 &&
         Now + minExpectedTime(Service, Call) >= Call.Deadline_;
}

/// Returns the refusal of a call for which there is no time or no server,
/// whatever the load is.
std::optional<Decision> refuseUnservable(BalancerState &State,
                                         const ServiceRecord *Service,
                                         const CallFacts &Call,
                                         model::TimePoint Now) {
  if (Now >= Call.Deadline_)
    return refuse(model::ResultCode::NotRunDeadline);
  if (!Service)
    return refuse(model::ResultCode::NotRunNoServer);
  if (Service->Members_.empty())
    return refuseWithoutServer(State, *Service, Now);
  if (!hasHomeServer(State, *Service, Call.Route_))
    return refuse(model::ResultCode::NotRunNoServer);
  return std::nullopt;
}

/// Removes an attempt from the in-flight counts of its service and server.
void recordAttemptEnd(ServiceRecord &Service, ServerRecord &Server,
                      const CallFacts &Call, model::TimePoint Sent) {
  if (Server.InFlight_ == 0)
    return;
  --Server.InFlight_;
  Server.SentAtSum_ = Server.InFlight_ == 0
                          ? 0
                          : Server.SentAtSum_ - Sent.time_since_epoch().count();
  --Service.InFlight_;
  if (Call.Route_.Priority_ == model::Priority::Patient)
    --Service.PatientInFlight_;
}

} // namespace

std::shared_ptr<BalancerState> makeBalancer(const std::string &Zone,
                                            unsigned Threads,
                                            std::uint64_t Seed,
                                            std::optional<unsigned> Thread) {
  auto State = std::make_shared<BalancerState>();
  State->Zone_ = Zone;
  State->Threads_ = std::max(Threads, 1u);
  State->Thread_ = Thread;
  State->Random_.seed(Seed);
  return State;
}

const model::BackendServer &serverOf(const BalancerState &State,
                                     ServerHandle Server) {
  return State.Servers_.at(Server).Server_;
}

Decision admit(BalancerState &State, const CallFacts &Call,
               model::TimePoint Now) {
  ServiceRecord *Service = findService(State, Call.Route_.Service_);
  if (const auto Refusal = refuseUnservable(State, Service, Call, Now))
    return *Refusal;
  depositBudgets(*Service, Call, State.Preset_);
  if (hasWaitedTooLong(*Service, Call, Now))
    return refuse(model::ResultCode::NotRunDeadline);
  const bool Behind = hasCallsAhead(Service->Queue_, Call);
  if (isObjectiveUnreachable(State, *Service, Call, Now)) {
    count(State.Reasons_, ChoiceReason::RefusedHopeless);
    return refuse(model::ResultCode::NotRunOverload);
  }
  if (!Behind) {
    const ServerHandle Server = tryDispatch(State, *Service, Call, Now);
    if (Server != NoServer)
      return {Verdict::Dispatch, Server, model::ResultCode::Ok};
  }
  const Decision Made = enqueue(State, *Service, Call, Now);
  if (Made.Verdict_ == Verdict::Wait)
    count(State.Reasons_,
          Behind ? ChoiceReason::QueuedBehind : ChoiceReason::QueuedForSlot);
  return Made;
}

std::optional<Decision> refuseInAdvance(BalancerState &State,
                                        const CallFacts &Call,
                                        model::TimePoint Now) {
  ServiceRecord *Service = findService(State, Call.Route_.Service_);
  if (auto Refusal = refuseUnservable(State, Service, Call, Now))
    return Refusal;
  if (!hasCallsAhead(Service->Queue_, Call))
    return std::nullopt;
  auto Refusal = refuseToQueue(State, *Service, Call, Now);
  if (Refusal)
    depositBudgets(*Service, Call, State.Preset_);
  return Refusal;
}

void removeFromQueue(BalancerState &State, CallId Call) {
  for (ServiceRecord &Service : State.Services_) {
    if (!removeCall(Service.Queue_, Call))
      continue;
    --State.Queued_;
    return;
  }
}

std::vector<Release> releaseWaiting(BalancerState &State,
                                    model::TimePoint Now) {
  std::vector<Release> Out;
  Out.swap(State.Evicted_);
  if (State.Queued_ > 0)
    for (ServiceRecord &Service : State.Services_)
      releaseQueued(State, Service, Now, Out);
  return Out;
}

void endAttempt(BalancerState &State, const CallFacts &Call,
                ServerHandle Server, AttemptEnd End, model::Duration Latency,
                model::TimePoint Now) {
  ServerRecord &Record = State.Servers_.at(Server);
  ServiceRecord &Service = State.Services_[Record.Service_];
  recordAttemptEnd(Service, Record, Call, Now - Latency);
  applyOutcome(State, Service, Record, {Call, End, Latency}, Now);
}

void recordReport(BalancerState &State, ServerHandle Server,
                  const model::LoadReport &Report, model::TimePoint Now) {
  ServerRecord &Record = State.Servers_.at(Server);
  if (Report.Cold_ &&
      recordCold(State, Server, State.Preset_.Ejection_.SlowStart_, Now))
    updateMembers(State, State.Services_[Record.Service_], Now);
  applyReport(State, Record, Report, Now);
}

bool tryRetry(BalancerState &State, const CallFacts &Call, AttemptEnd End,
              model::TimePoint Now) {
  ServiceRecord *Service = findService(State, Call.Route_.Service_);
  const bool Allowed = Service && isRetrySafe(Call, End) &&
                       (!Call.Nested_ || isUnsent(End)) &&
                       hasAttemptsLeft(State, Call, End) &&
                       Now + minExpectedTime(*Service, Call) < Call.Deadline_;
  if (!Allowed) {
    count(State.Reasons_, ChoiceReason::RetryNotAllowed);
    return false;
  }
  if (isUnsent(End)) {
    count(State.Reasons_, ChoiceReason::RetryFree);
    return true;
  }
  const bool Paid = spend(Service->Retries_);
  count(State.Reasons_,
        Paid ? ChoiceReason::RetryAllowed : ChoiceReason::RetryNoBudget);
  return Paid;
}

std::optional<model::TimePoint> hedgeTime(const BalancerState &State,
                                          const CallFacts &Call,
                                          model::TimePoint Dispatched) {
  if (State.Preset_.Hedge_.Ratio_ <= 0 || !Call.Route_.Idempotent_ ||
      Call.Nested_)
    return std::nullopt;
  const ServiceRecord *Service = findService(State, Call.Route_.Service_);
  const RouteLatency *Latency =
      Service ? findLatency(*Service, Call.Route_.Name_) : nullptr;
  if (!Latency || !hasEnoughSamples(*Latency))
    return std::nullopt;
  const model::TimePoint At =
      Dispatched +
      model::Duration(static_cast<long long>(Latency->QuantileNs_));
  if (At >= Call.Deadline_)
    return std::nullopt;
  return At;
}

std::optional<ServerHandle>
tryHedge(BalancerState &State, const CallFacts &Call, model::TimePoint Now) {
  ServiceRecord *Service = findService(State, Call.Route_.Service_);
  if (!Service || !Call.Route_.Idempotent_ || Call.Nested_ ||
      sizeOf(Service->Queue_) > 0 || State.Preset_.Hedge_.Ratio_ <= 0 ||
      Service->Hedges_.Tokens_ < 1 ||
      Now + minExpectedTime(*Service, Call) >= Call.Deadline_)
    return std::nullopt;
  updateEjectionStates(State, *Service, Now);
  const Choice Made = chooseServer(
      State, *Service, {Call, CapacityRule::BelowLimit, /*AllowTried_=*/false},
      Now);
  if (Made.Server_ == NoServer || Made.Reason_ != ChoiceReason::ByMethod)
    return std::nullopt;
  spend(Service->Hedges_);
  count(State.Reasons_, ChoiceReason::Hedged);
  recordDispatch(State, *Service, Call, Made.Server_, Now);
  return Made.Server_;
}

model::AttemptTrace traceOf(const BalancerState &State, ServerHandle Server,
                            model::TimePoint Now) {
  const ServerRecord &Record = State.Servers_.at(Server);
  model::AttemptTrace Out;
  Out.Server_ = Record.Server_.Name_;
  Out.Vm_ = Record.Server_.Vm_;
  Out.InFlight_ = Record.InFlight_;
  Out.Backlog_ = Record.Report_.Backlog_;
  Out.Pace_ = Record.Pace_;
  if (Record.Report_.Known_)
    Out.ReportAgeMs_ = std::chrono::duration_cast<model::milliseconds>(
                           Now - Record.Report_.MeasuredAt_)
                           .count();
  return Out;
}

std::vector<model::ServerActivity> activity(const BalancerState &State) {
  std::vector<model::ServerActivity> Out;
  for (const ServerRecord &Record : State.Servers_)
    if (Record.Present_ || Record.InFlight_ > 0)
      Out.push_back({Record.Server_.Name_, Record.Server_.Vm_, Record.InFlight_,
                     0, Record.Leaving_});
  return Out;
}

ReasonCounts reasonCounts(const BalancerState &State) { return State.Reasons_; }

} // namespace cumingauge::policy
