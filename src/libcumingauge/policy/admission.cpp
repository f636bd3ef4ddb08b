#include "policy/admission.h"
#include "policy/assessment.h"
#include "policy/choice.h"
#include "policy/limits.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Part of a route's mean latency that a call needs at the least.
constexpr double LeastPartOfMean = 0.5;
/// Part of the time to the deadline that may go into waiting in the queue;
/// the rest is left for an answer slower than the mean.
constexpr double WaitPartOfTime = 0.7;
/// Times its share that a thread may have in flight while reports say that
/// the servers have room.
constexpr unsigned OverShare = 2;

Decision refuse(model::ResultCode Reason) {
  return {Verdict::Refuse, NoServer, Reason};
}

bool isPatient(const CallFacts &Call) {
  return Call.Route_.Priority_ == model::Priority::Patient;
}

/// A patient call that has used half of its time is served like any other.
bool isStillPatient(const CallFacts &Call, model::TimePoint Now) {
  return isPatient(Call) &&
         Now - Call.Arrived_ < (Call.Deadline_ - Call.Arrived_) / 2;
}

std::optional<Capacity> allowedCapacity(const BalancerState &State,
                                        const ServiceRecord &Service,
                                        const CallFacts &Call,
                                        model::TimePoint Now) {
  if (Now < Service.HeldUntil_)
    return std::nullopt;
  if (Service.InFlight_ == 0)
    return Capacity::Any;
  if (isStillPatient(Call, Now))
    return Service.PatientInFlight_ <
                   patientShare(Service.Slots_, State.Deciders_)
               ? std::optional(Capacity::FreeSlot)
               : std::nullopt;
  const unsigned Share = shareOf(State, Service);
  if (Service.InFlight_ < Share)
    return Capacity::NotFull;
  return Service.InFlight_ < OverShare * Share ? Capacity::Room
                                               : Capacity::FreeSlot;
}

/// Expected time in the queue by Little's law over this thread's own calls.
model::Duration expectedQueueTime(const BalancerState &State,
                                  const ServiceRecord &Service,
                                  const CallFacts &Call) {
  const unsigned AtOnce = std::max(Service.InFlight_, shareOf(State, Service));
  const double Ns = callsAhead(Service.Queue_, Call) *
                    Service.Latency_.MeanNs_ / std::max(AtOnce, 1u);
  return model::Duration(static_cast<long long>(Ns));
}

bool wouldBeLate(const BalancerState &State, const ServiceRecord &Service,
                 const CallFacts &Call, model::TimePoint Now) {
  const double Left = static_cast<double>((Call.Deadline_ - Now).count());
  const double Needed = static_cast<double>(leastTime(Service, Call).count());
  const double Wait =
      static_cast<double>(expectedQueueTime(State, Service, Call).count());
  return Wait + Needed > Left || Wait > WaitPartOfTime * Left;
}

/// Makes room by ending a call of a lower class; false when there is none.
bool evictBelow(BalancerState &State, ServiceRecord &Service,
                const CallFacts &Call) {
  const std::optional<CallFacts> Last =
      takeLastBelow(Service.Queue_, classOf(Call));
  if (!Last)
    return false;
  --State.Queued_;
  count(State.Reasons_, ChoiceReason::QueueEvicted);
  State.Evicted_.push_back(
      {Last->Call_, refuse(model::ResultCode::NotRunQueueFull)});
  return true;
}

void releaseLate(BalancerState &State, ServiceRecord &Service,
                 model::TimePoint Now, std::vector<Release> &Out) {
  const auto Least = [&](const CallFacts &Call) {
    return leastTime(Service, Call);
  };
  for (const CallFacts &Call : takeLate(Service.Queue_, Now, Least)) {
    --State.Queued_;
    Out.push_back({Call.Call_, refuse(model::ResultCode::NotRunDeadline)});
  }
}

/// Sends the next call of the first class that may go; false when none may.
bool releaseOne(BalancerState &State, ServiceRecord &Service,
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

void refuseAll(BalancerState &State, ServiceRecord &Service,
               std::vector<Release> &Out) {
  for (unsigned Class = 0; Class < PriorityClasses; ++Class)
    while (nextOf(Service.Queue_, Class)) {
      --State.Queued_;
      Out.push_back({takeNext(Service.Queue_, Class).Call_,
                     refuse(model::ResultCode::NotRunNoServer)});
    }
}

/// Urgent calls are given more time, so that they are refused less often than
/// others of the same service.
constexpr double UrgentSlack = 1.5;

} // namespace

bool isHopeless(const BalancerState &State, const ServiceRecord &Service,
                const CallFacts &Call, model::TimePoint Now) {
  const double Slack =
      State.Preset_.Queue_.ObjectiveSlack_ *
      (Call.Route_.Priority_ == model::Priority::Urgent ? UrgentSlack : 1);
  const RouteLatency *Usual = findLatency(Service, Call.Route_.Name_);
  const model::Duration Objective = Call.Route_.Objective_;
  if (Slack <= 0 || !Usual || Objective <= model::Duration::zero())
    return false;
  const double Allowed = Slack * static_cast<double>(Objective.count()) -
                         static_cast<double>((Now - Call.Arrived_).count());
  bool HeardOfAny = false;
  for (const ServerHandle Handle : Service.Subset_) {
    const ServerRecord &Server = State.Servers_[Handle];
    if (Server.Draining_ || !wasHeardLately(Server, Now))
      continue;
    HeardOfAny = true;
    const double Backlog = backlogOf(State, Service, Server, Now).Calls_;
    const double Wait = expectedWait(Backlog, Server.Slots_);
    const double Expected =
        Usual->MeanNs_ * std::max(1.0, Server.Pace_) * (1 + Wait);
    if (Wait <= 0 || Expected <= Allowed)
      return false;
  }
  return HeardOfAny;
}

model::Duration leastTime(const ServiceRecord &Service, const CallFacts &Call) {
  const RouteLatency *Record = findLatency(Service, Call.Route_.Name_);
  return Record ? model::Duration(
                      static_cast<long long>(LeastPartOfMean * Record->MeanNs_))
                : model::Duration(0);
}

unsigned shareOf(const BalancerState &State, const ServiceRecord &Service) {
  return serviceShare(Service.Slots_, State.Preset_.Servers_, State.Deciders_);
}

void noteDispatch(BalancerState &State, ServiceRecord &Service,
                  const CallFacts &Call, ServerHandle Server,
                  model::TimePoint Now) {
  ServerRecord &Record = State.Servers_[Server];
  ++Record.InFlight_;
  Record.SentAtSum_ += Now.time_since_epoch().count();
  ++Service.InFlight_;
  Service.PatientInFlight_ += isPatient(Call);
  noteSend(Record.Report_, Now);
}

ServerHandle tryDispatch(BalancerState &State, ServiceRecord &Service,
                         const CallFacts &Call, model::TimePoint Now) {
  const std::optional<Capacity> Allowed =
      allowedCapacity(State, Service, Call, Now);
  if (!Allowed)
    return NoServer;
  refreshStandings(State, Service, Now);
  Choice Made = chooseServer(
      State, Service, {Call, std::max(*Allowed, Capacity::NotFull)}, Now);
  if (Made.Server_ == NoServer && *Allowed == Capacity::Any)
    Made = chooseServer(State, Service, {Call, Capacity::Any}, Now);
  if (Made.Server_ == NoServer)
    return NoServer;
  count(State.Reasons_, Made.Reason_);
  noteDispatch(State, Service, Call, Made.Server_, Now);
  return Made.Server_;
}

Decision enqueue(BalancerState &State, ServiceRecord &Service,
                 const CallFacts &Call, model::TimePoint Now) {
  const model::QueueLimits &Limits = State.Preset_.Queue_;
  const unsigned Places = std::max(Limits.MaxQueued_ / State.Threads_, 1u);
  if (wouldBeLate(State, Service, Call, Now))
    return refuse(model::ResultCode::NotRunOverload);
  if (queuedBy(Service.Queue_, Call.Caller_) >= Limits.MaxCallerShare_ * Places)
    return refuse(model::ResultCode::NotRunCallerShare);
  if (State.Queued_ >= Places && !evictBelow(State, Service, Call))
    return refuse(model::ResultCode::NotRunQueueFull);
  push(Service.Queue_, Call);
  ++State.Queued_;
  return {Verdict::Wait, NoServer, model::ResultCode::Ok};
}

void releaseFrom(BalancerState &State, ServiceRecord &Service,
                 model::TimePoint Now, std::vector<Release> &Out) {
  if (sizeOf(Service.Queue_) == 0)
    return;
  if (Service.Members_.empty()) {
    refuseAll(State, Service, Out);
    return;
  }
  releaseLate(State, Service, Now, Out);
  while (releaseOne(State, Service, Now, Out)) {
  }
}

} // namespace cumingauge::policy
