#include "policy/admission.h"
#include "policy/assessment.h"
#include "policy/choice.h"
#include "policy/limits.h"
#include "policy/notices.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Fraction of a route's mean latency that a call takes at least.
constexpr double MinFractionOfMean = 0.5;
/// Fraction of the time to the deadline that a call may spend in the queue; the
/// rest is reserved for a response that is slower than the mean.
constexpr double MaxWaitFraction = 0.7;
/// Multiple of its share that a thread may have in flight while load reports
/// show that servers are below the fleet's limit.
constexpr unsigned MaxShareMultiple = 2;

Decision refuse(model::ResultCode Reason) {
  return {Verdict::Refuse, NoServer, Reason};
}

bool isPatient(const CallFacts &Call) {
  return Call.Route_.Priority_ == model::Priority::Patient;
}

/// Returns whether patient limits apply to the call. Once half of its time has
/// passed, a patient call is treated like any other.
bool isTreatedAsPatient(const CallFacts &Call, model::TimePoint Now) {
  return isPatient(Call) &&
         Now - Call.Arrived_ < (Call.Deadline_ - Call.Arrived_) / 2;
}

/// Returns which servers the thread may use for the call now, given what it has
/// in flight; nothing when the call has to wait.
std::optional<CapacityRule> allowedCapacity(const BalancerState &State,
                                            const ServiceRecord &Service,
                                            const CallFacts &Call,
                                            model::TimePoint Now) {
  if (Now < Service.PausedUntil_)
    return std::nullopt;
  if (Service.InFlight_ == 0)
    return CapacityRule::Any;
  if (isTreatedAsPatient(Call, Now))
    return Service.PatientInFlight_ <
                   patientShare(Service.Slots_, State.FleetThreads_)
               ? std::optional(CapacityRule::FreeSlot)
               : std::nullopt;
  const unsigned Share = inFlightShare(State, Service);
  if (Service.InFlight_ < Share)
    return CapacityRule::NotFull;
  return Service.InFlight_ < MaxShareMultiple * Share ? CapacityRule::BelowLimit
                                                      : CapacityRule::FreeSlot;
}

/// Estimates the time in the queue by Little's law over this thread's own
/// calls.
model::Duration expectedQueueTime(const BalancerState &State,
                                  const ServiceRecord &Service,
                                  const CallFacts &Call) {
  const unsigned Concurrent =
      std::max(Service.InFlight_, inFlightShare(State, Service));
  const double Ns = callsAhead(Service.Queue_, Call) *
                    Service.Latency_.MeanNs_ / std::max(Concurrent, 1u);
  return model::Duration(static_cast<long long>(Ns));
}

/// Returns whether a queued call would be dispatched too late to be answered
/// before its deadline.
bool wouldMissDeadline(const BalancerState &State, const ServiceRecord &Service,
                       const CallFacts &Call, model::TimePoint Now) {
  const double TimeLeft = static_cast<double>((Call.Deadline_ - Now).count());
  const double Needed =
      static_cast<double>(minExpectedTime(Service, Call).count());
  const double Wait =
      static_cast<double>(expectedQueueTime(State, Service, Call).count());
  return Wait + Needed > TimeLeft || Wait > MaxWaitFraction * TimeLeft;
}

unsigned queueLimit(const BalancerState &State) {
  return std::max(State.Preset_.Queue_.MaxQueued_ / State.Threads_, 1u);
}

/// Makes room in the queue by refusing a call of a lower priority class, if
/// there is one.
void evictLowerPriority(BalancerState &State, ServiceRecord &Service,
                        const CallFacts &Call) {
  const std::optional<CallFacts> Last =
      takeLastOfLowerClass(Service.Queue_, classOf(Call));
  if (!Last)
    return;
  --State.Queued_;
  count(State.Reasons_, ChoiceReason::QueueEvicted);
  State.Evicted_.push_back(
      {Last->Call_, refuse(model::ResultCode::NotRunQueueFull)});
}

/// Refuses the queued calls that could not be answered before their deadline.
void refuseOverdue(BalancerState &State, ServiceRecord &Service,
                   model::TimePoint Now, std::vector<Release> &Out) {
  const auto MinTime = [&](const CallFacts &Call) {
    return minExpectedTime(Service, Call);
  };
  for (const CallFacts &Call : takeOverdue(Service.Queue_, Now, MinTime)) {
    --State.Queued_;
    Out.push_back({Call.Call_, refuse(model::ResultCode::NotRunDeadline)});
  }
}

/// Dispatches the next call of the first priority class that has one which may
/// go; returns false when none may.
bool dispatchNext(BalancerState &State, ServiceRecord &Service,
                  model::TimePoint Now, std::vector<Release> &Out) {
  for (const unsigned Class : classOrder(Service.Queue_)) {
    const CallFacts *Next = nextOf(Service.Queue_, Class);
    if (!Next)
      continue;
    const ServerHandle Server = tryDispatch(State, Service, *Next, Now);
    if (Server == NoServer)
      continue;
    const CallFacts Call = takeNext(Service.Queue_, Class);
    --State.Queued_;
    Out.push_back(
        {Call.Call_, {Verdict::Dispatch, Server, model::ResultCode::Ok}});
    return true;
  }
  return false;
}

/// Refuses every queued call of a service that has no servers left.
void refuseAll(BalancerState &State, ServiceRecord &Service,
               model::TimePoint Now, std::vector<Release> &Out) {
  for (unsigned Class = 0; Class < PriorityClasses; ++Class)
    while (nextOf(Service.Queue_, Class)) {
      --State.Queued_;
      const CallId Call = takeNext(Service.Queue_, Class).Call_;
      Out.push_back({Call, refuseWithoutServer(State, Service, Now)});
    }
}

/// Factor on the objective slack of urgent calls, so that they are refused less
/// often than other calls of the same service.
constexpr double UrgentSlackFactor = 1.5;

/// Steps of the random part of the time after which callers may return.
constexpr std::uint32_t SpreadSteps = 1024;
/// Largest random part of that time, as a fraction of it.
constexpr double SpreadFraction = 0.5;

} // namespace

Decision refuseWithoutServer(BalancerState &State, const ServiceRecord &Service,
                             model::TimePoint Now) {
  const model::Duration Left = timeToFirstOpen(State, Service, Now);
  if (Left == model::Duration::zero())
    return refuse(model::ResultCode::NotRunNoServer);
  const double Spread =
      SpreadFraction * State.Random_(SpreadSteps) / double(SpreadSteps);
  Decision Out = refuse(model::ResultCode::NotRunServersPaused);
  Out.RetryAfter_ = Left + model::Duration(static_cast<long long>(
                               Spread * static_cast<double>(Left.count())));
  return Out;
}

bool isObjectiveUnreachable(const BalancerState &State,
                            const ServiceRecord &Service, const CallFacts &Call,
                            model::TimePoint Now) {
  const double Slack =
      State.Preset_.Queue_.ObjectiveSlack_ *
      (Call.Route_.Priority_ == model::Priority::Urgent ? UrgentSlackFactor
                                                        : 1);
  const RouteLatency *RouteMean = findLatency(Service, Call.Route_.Name_);
  const model::Duration Objective = Call.Route_.Objective_;
  if (Slack <= 0 || !RouteMean || Objective <= model::Duration::zero())
    return false;
  const double Allowed = Slack * static_cast<double>(Objective.count()) -
                         static_cast<double>((Now - Call.Arrived_).count());
  bool HasRecentReport = false;
  for (const ServerHandle Handle : Service.Subset_) {
    const ServerRecord &Server = State.Servers_[Handle];
    if (Server.Draining_ || !wasHeardRecently(Server, Now))
      continue;
    HasRecentReport = true;
    const double Backlog = backlogOf(State, Service, Server, Now).Calls_;
    const double Wait = expectedWait(Backlog, Server.Slots_);
    const double Expected =
        RouteMean->MeanNs_ * std::max(1.0, Server.Pace_) * (1 + Wait);
    if (Wait <= 0 || Expected <= Allowed)
      return false;
  }
  return HasRecentReport;
}

model::Duration minExpectedTime(const ServiceRecord &Service,
                                const CallFacts &Call) {
  const RouteLatency *Record = findLatency(Service, Call.Route_.Name_);
  return Record ? model::Duration(static_cast<long long>(MinFractionOfMean *
                                                         Record->MeanNs_))
                : model::Duration(0);
}

unsigned inFlightShare(const BalancerState &State,
                       const ServiceRecord &Service) {
  return serviceShare(Service.Slots_, State.Preset_.Servers_,
                      State.FleetThreads_);
}

void recordDispatch(BalancerState &State, ServiceRecord &Service,
                    const CallFacts &Call, ServerHandle Server,
                    model::TimePoint Now) {
  ServerRecord &Record = State.Servers_[Server];
  ++Record.InFlight_;
  Record.SentAtSum_ += Now.time_since_epoch().count();
  ++Service.InFlight_;
  Service.PatientInFlight_ += isPatient(Call);
  recordSend(Record.Report_, Now);
}

ServerHandle tryDispatch(BalancerState &State, ServiceRecord &Service,
                         const CallFacts &Call, model::TimePoint Now) {
  const std::optional<CapacityRule> Allowed =
      allowedCapacity(State, Service, Call, Now);
  if (!Allowed)
    return NoServer;
  updateEjectionStates(State, Service, Now);
  Choice Made = chooseServer(
      State, Service, {Call, std::max(*Allowed, CapacityRule::NotFull)}, Now);
  if (Made.Server_ == NoServer && *Allowed == CapacityRule::Any)
    Made = chooseServer(State, Service, {Call, CapacityRule::Any}, Now);
  if (Made.Server_ == NoServer)
    return NoServer;
  count(State.Reasons_, Made.Reason_);
  recordDispatch(State, Service, Call, Made.Server_, Now);
  return Made.Server_;
}

std::optional<Decision> refuseToQueue(const BalancerState &State,
                                      const ServiceRecord &Service,
                                      const CallFacts &Call,
                                      model::TimePoint Now) {
  const unsigned Limit = queueLimit(State);
  if (wouldMissDeadline(State, Service, Call, Now))
    return refuse(model::ResultCode::NotRunOverload);
  if (queuedBy(Service.Queue_, Call.Caller_) >=
      State.Preset_.Queue_.MaxCallerShare_ * Limit)
    return refuse(model::ResultCode::NotRunCallerShare);
  if (State.Queued_ >= Limit && !hasLowerClass(Service.Queue_, classOf(Call)))
    return refuse(model::ResultCode::NotRunQueueFull);
  return std::nullopt;
}

Decision enqueue(BalancerState &State, ServiceRecord &Service,
                 const CallFacts &Call, model::TimePoint Now) {
  if (const auto Refusal = refuseToQueue(State, Service, Call, Now))
    return *Refusal;
  if (State.Queued_ >= queueLimit(State))
    evictLowerPriority(State, Service, Call);
  push(Service.Queue_, Call);
  ++State.Queued_;
  return {Verdict::Wait, NoServer, model::ResultCode::Ok};
}

void releaseQueued(BalancerState &State, ServiceRecord &Service,
                   model::TimePoint Now, std::vector<Release> &Out) {
  if (sizeOf(Service.Queue_) == 0)
    return;
  if (Service.Members_.empty()) {
    refuseAll(State, Service, Now, Out);
    return;
  }
  refuseOverdue(State, Service, Now, Out);
  while (dispatchNext(State, Service, Now, Out)) {
  }
}

} // namespace cumingauge::policy
