#pragma once

#include "model/controlview.h"
#include "policy/balancer.h"
#include "policysim/scenario.h"
#include "policysim/servermodel.h"
#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

/// A discrete-event model of entry processes before backend servers. The
/// decisions are the real ones; servers, network and callers are modelled.
namespace cumingauge::bench {

enum class EventType {
  Arrive,
  AtServer,
  Finished,
  Reply,
  CancelAtServer,
  Deadline,
  HedgeDue,
  Tick,
  ProbeReply,
  SharedReport,
  Redraw,
  DrainStep,
  ViewChange,
};

struct SimEvent {
  SimTime At_ = 0;
  std::uint64_t Order_ = 0;
  EventType Type_ = EventType::Tick;
  unsigned A_ = 0;
  unsigned B_ = 0;
  bool operator<(const SimEvent &Other) const { // for a min-heap
    return At_ != Other.At_ ? At_ > Other.At_ : Order_ > Other.Order_;
  }
};

enum class AttemptPhase { Travelling, Queued, Running, Done };

struct SimAttempt {
  unsigned Call_ = 0; ///< or NoCall for a probe
  unsigned Server_ = 0;
  unsigned Process_ = 0;
  SimTime Sent_ = 0;
  AttemptPhase Phase_ = AttemptPhase::Travelling;
  bool Ended_ = false; ///< at the entry process
  policy::AttemptEnd End_ = policy::AttemptEnd::Answered;
  model::LoadReport Report_{};
};

struct SimCall {
  policy::CallFacts Facts_;
  unsigned Process_ = 0;
  unsigned Service_ = 0;
  unsigned Caller_ = 0;
  double WorkNs_ = 0;
  bool Done_ = false;
  unsigned Runs_ = 0;
  std::vector<unsigned> Attempts_;
};

constexpr unsigned NoCall = UINT32_MAX;
constexpr unsigned Callers = 40;

struct Simulation {
  Simulation(const Cell &Cell, const Arm &Arm) : Cell_(Cell), Arm_(Arm) {}

  const Cell &Cell_;
  const Arm &Arm_;
  SimTime Now_ = 0;
  std::uint64_t Order_ = 0;
  std::priority_queue<SimEvent> Events_;
  std::vector<ServerModel> Servers_; ///< by handle
  std::vector<unsigned> Places_;     ///< handle of the VM in each place
  std::vector<std::shared_ptr<policy::BalancerState>> Processes_;
  std::vector<std::vector<unsigned>> OpenConnections_;
  std::vector<std::vector<unsigned>> BusyConnections_;
  std::vector<SimCall> Calls_;
  std::vector<SimAttempt> Attempts_;
  std::vector<double> ArrivalWeight_; ///< by process
  std::mt19937_64 ArrivalDraws_, ServerDraws_;
  std::shared_ptr<model::ConfigState> Config_;
  std::set<std::string> Leaving_;
  std::vector<std::vector<SimTime>> ProbeTimes_; ///< by service
  std::vector<double> UrgentMs_, OthersMs_, PatientMs_;
  unsigned long FirstAttempts_ = 0, Extra_ = 0, Retries_ = 0;
  unsigned long Counted_ = 0, Good_ = 0, NotRun_ = 0, Urgent_ = 0,
                UrgentGood_ = 0;
  double RefusalMs_ = 0;
  unsigned DrainNext_ = 0;
};

Outcome runCell(const Cell &Cell, const Arm &Arm);

namespace detail {

inline model::TimePoint timeOf(SimTime At) {
  return model::TimePoint(model::Duration(At + 1000 * Second));
}

inline void schedule(Simulation &Sim, SimTime At, EventType Type, unsigned A,
                     unsigned B = 0) {
  Sim.Events_.push({At, Sim.Order_++, Type, A, B});
}

inline double uniform(std::mt19937_64 &Draws) {
  return std::uniform_real_distribution<double>(0, 1)(Draws);
}

inline unsigned zoneOf(const Simulation &Sim, unsigned Process) {
  return Process % static_cast<unsigned>(Sim.Cell_.Deployment_.Zones_.size());
}

inline SimTime oneWay(const Simulation &Sim, unsigned Process,
                      unsigned Server) {
  constexpr double InZoneMs = 0.1;
  const bool Same = zoneOf(Sim, Process) == Sim.Servers_[Server].Zone_;
  return static_cast<SimTime>(
      (Same ? InZoneMs : Sim.Cell_.Deployment_.OneWayMs_) * Ms);
}

/// Calls per second that the service's slots can run when undisturbed.
inline double capacityOf(const Deployment &Where, const ServiceLoad &Load) {
  double MeanMs = 0;
  for (const RouteLoad &Route : Load.Routes_)
    MeanMs += Route.Share_ * Route.MeanMs_;
  return Load.Servers_ * Where.Slots_ * 1000.0 / MeanMs;
}

inline void publishView(Simulation &Sim) {
  auto View = std::make_shared<model::ControlView>();
  View->Config_ = std::make_shared<model::ConfigState>(*Sim.Config_);
  View->LeavingServers_ = Sim.Leaving_;
  View->FleetSize_ = Sim.Cell_.Deployment_.Processes_;
  View->Confirmed_ = true;
  for (unsigned P = 0; P < Sim.Processes_.size(); ++P) {
    auto Own = std::make_shared<model::ControlView>(*View);
    Own->FleetRank_ = P;
    policy::applyView(*Sim.Processes_[P], Own, timeOf(Sim.Now_));
  }
}

inline void addServer(Simulation &Sim, unsigned Place, unsigned Generation) {
  ServerModel &Old = Sim.Servers_[Place];
  ServerModel New;
  New.Name_ = Old.Name_;
  New.Service_ = Old.Service_;
  New.Zone_ = Old.Zone_;
  New.Slots_ = Old.Slots_;
  New.Generation_ = Generation;
  New.ColdUntil_ = Sim.Now_ + Second;
  const std::string Vm = "vm" + std::to_string(Generation) + Old.Name_;
  Sim.Config_->Servers_[Old.Name_].Vm_ = Vm;
  Sim.Places_[Place] = static_cast<unsigned>(Sim.Servers_.size());
  Sim.Servers_.push_back(New);
  for (auto &Row : Sim.OpenConnections_)
    Row.push_back(0);
  for (auto &Row : Sim.BusyConnections_)
    Row.push_back(0);
}

inline double speedOf(const Simulation &Sim, const ServerModel &Server) {
  return Server.Speed_ * (Sim.Now_ < Server.ColdUntil_ ? 0.33 : 1);
}

inline void reply(Simulation &Sim, unsigned Id, policy::AttemptEnd End) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  const ServerModel &Server = Sim.Servers_[Attempt.Server_];
  const Disturbance Kind = Sim.Cell_.Disturbance_;
  const SimTime Lag =
      Kind == Disturbance::Lag50 || Kind == Disturbance::LagHidden ? 50 * Ms
      : Kind == Disturbance::Lag500                                ? 500 * Ms
                                                                   : 0;
  Attempt.Phase_ = AttemptPhase::Done;
  Attempt.End_ = End;
  Attempt.Report_ =
      reportOf(Server, Sim.Now_, Lag, Kind != Disturbance::LagHidden);
  schedule(Sim, Sim.Now_ + oneWay(Sim, Attempt.Process_, Attempt.Server_),
           Attempt.Call_ == NoCall ? EventType::ProbeReply : EventType::Reply,
           Id);
}

inline void startRun(Simulation &Sim, unsigned Id) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  ServerModel &Server = Sim.Servers_[Attempt.Server_];
  Attempt.Phase_ = AttemptPhase::Running;
  ++Server.Running_;
  double WorkNs = Sim.Cell_.Deployment_.ProbeMs_ * Ms;
  if (Attempt.Call_ != NoCall) {
    SimCall &Call = Sim.Calls_[Attempt.Call_];
    WorkNs = Call.WorkNs_;
    ++Call.Runs_;
  }
  schedule(Sim, Sim.Now_ + static_cast<SimTime>(WorkNs / speedOf(Sim, Server)),
           EventType::Finished, Id);
}

inline void startQueued(Simulation &Sim, unsigned ServerId) {
  ServerModel &Server = Sim.Servers_[ServerId];
  while (Server.Running_ < Server.Slots_ && !Server.Queue_.empty()) {
    const unsigned Id = Server.Queue_.front();
    Server.Queue_.pop_front();
    startRun(Sim, Id);
  }
  recordLoad(Server, Sim.Now_);
}

inline void atServer(Simulation &Sim, unsigned Id) {
  constexpr std::size_t ShedQueuePerSlot = 10;
  constexpr SimTime FailTime = Ms / 5;
  SimAttempt &Attempt = Sim.Attempts_[Id];
  ServerModel &Server = Sim.Servers_[Attempt.Server_];
  if (Attempt.Phase_ != AttemptPhase::Travelling)
    return;
  if (Server.Draining_)
    return reply(Sim, Id, policy::AttemptEnd::Draining);
  if (Server.Failing_) {
    Sim.Now_ += FailTime;
    reply(Sim, Id, policy::AttemptEnd::AnsweredError);
    Sim.Now_ -= FailTime;
    return;
  }
  if (Server.Queue_.size() >= ShedQueuePerSlot * Server.Slots_)
    return reply(Sim, Id, policy::AttemptEnd::Shed);
  Attempt.Phase_ = AttemptPhase::Queued;
  Server.Queue_.push_back(Id);
  startQueued(Sim, Attempt.Server_);
}

inline void finished(Simulation &Sim, unsigned Id) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  if (Attempt.Phase_ != AttemptPhase::Running)
    return;
  --Sim.Servers_[Attempt.Server_].Running_;
  startQueued(Sim, Attempt.Server_);
  reply(Sim, Id, policy::AttemptEnd::Answered);
}

inline void cancelAtServer(Simulation &Sim, unsigned Id) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  ServerModel &Server = Sim.Servers_[Attempt.Server_];
  if (Attempt.Phase_ == AttemptPhase::Queued)
    Server.Queue_.erase(
        std::find(Server.Queue_.begin(), Server.Queue_.end(), Id));
  else if (Attempt.Phase_ == AttemptPhase::Running)
    --Server.Running_;
  Attempt.Phase_ = AttemptPhase::Done;
  startQueued(Sim, Attempt.Server_);
}

inline void send(Simulation &Sim, unsigned CallId, unsigned ServerId) {
  SimCall &Call = Sim.Calls_[CallId];
  constexpr SimTime ConnectTime = Ms;
  const auto Id = static_cast<unsigned>(Sim.Attempts_.size());
  Sim.Attempts_.push_back({CallId, ServerId, Call.Process_, Sim.Now_});
  Call.Attempts_.push_back(Id);
  Call.Facts_.Tried_.push_back(ServerId);
  if (Call.Facts_.Attempts_++ == 0)
    ++Sim.FirstAttempts_;
  else
    ++Sim.Extra_;
  unsigned &Busy = ++Sim.BusyConnections_[Call.Process_][ServerId];
  unsigned &Open = Sim.OpenConnections_[Call.Process_][ServerId];
  const bool Connects = Busy > Open;
  Open = std::max(Open, Busy);
  schedule(Sim,
           Sim.Now_ + oneWay(Sim, Call.Process_, ServerId) +
               (Connects ? ConnectTime : 0),
           EventType::AtServer, Id);
}

inline void endSimAttempt(Simulation &Sim, unsigned Id,
                          policy::AttemptEnd End) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  SimCall &Call = Sim.Calls_[Attempt.Call_];
  Attempt.Ended_ = true;
  --Sim.BusyConnections_[Call.Process_][Attempt.Server_];
  policy::endAttempt(
      *Sim.Processes_[Call.Process_], Call.Facts_, Attempt.Server_, End,
      model::Duration(Sim.Now_ - Attempt.Sent_), timeOf(Sim.Now_));
}

inline void endOthers(Simulation &Sim, SimCall &Call, policy::AttemptEnd End) {
  for (const unsigned Id : Call.Attempts_) {
    SimAttempt &Attempt = Sim.Attempts_[Id];
    if (Attempt.Ended_)
      continue;
    endSimAttempt(Sim, Id, End);
    schedule(Sim, Sim.Now_ + oneWay(Sim, Call.Process_, Attempt.Server_),
             EventType::CancelAtServer, Id);
  }
}

inline void closeCall(Simulation &Sim, unsigned CallId, bool Good,
                      bool NotRun) {
  constexpr SimTime Warmup = 2 * Second;
  SimCall &Call = Sim.Calls_[CallId];
  Call.Done_ = true;
  const SimTime Arrived =
      Call.Facts_.Arrived_.time_since_epoch().count() - 1000 * Second;
  if (Arrived < Warmup)
    return;
  const double LimitMs =
      static_cast<double>(Call.Facts_.Route_.Deadline_.count());
  const double Latency = Good ? double(Sim.Now_ - Arrived) / Ms : LimitMs;
  const bool Urgent = Call.Facts_.Route_.Priority_ != model::Priority::Patient;
  ++Sim.Counted_;
  Sim.Good_ += Good;
  Sim.NotRun_ += NotRun;
  Sim.Urgent_ += Urgent;
  Sim.UrgentGood_ += Urgent && Good;
  (Urgent ? Sim.UrgentMs_ : Sim.PatientMs_).push_back(Latency);
  if (Urgent && Call.Caller_ != 0)
    Sim.OthersMs_.push_back(Latency);
}

inline void follow(Simulation &Sim, unsigned CallId,
                   const policy::Decision &Made);

inline void releaseAll(Simulation &Sim, unsigned Process) {
  for (const policy::Release &Next :
       policy::releaseWaiting(*Sim.Processes_[Process], timeOf(Sim.Now_)))
    follow(Sim, static_cast<unsigned>(Next.Call_), Next.Decision_);
}

inline void follow(Simulation &Sim, unsigned CallId,
                   const policy::Decision &Made) {
  SimCall &Call = Sim.Calls_[CallId];
  if (Made.Verdict_ == policy::Verdict::Wait)
    return;
  if (Made.Verdict_ == policy::Verdict::Refuse) {
    const double LateMs =
        double((timeOf(Sim.Now_) - Call.Facts_.Deadline_).count()) / Ms;
    Sim.RefusalMs_ = std::max(Sim.RefusalMs_, LateMs);
    return closeCall(Sim, CallId, false, true);
  }
  const bool First = Call.Attempts_.empty();
  send(Sim, CallId, Made.Server_);
  if (!First)
    return;
  const auto Hedge = policy::hedgeTime(*Sim.Processes_[Call.Process_],
                                       Call.Facts_, timeOf(Sim.Now_));
  if (Hedge)
    schedule(Sim, Sim.Now_ + (*Hedge - timeOf(Sim.Now_)).count(),
             EventType::HedgeDue, CallId);
}

inline void replied(Simulation &Sim, unsigned Id) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  const unsigned CallId = Attempt.Call_;
  const unsigned Process = Attempt.Process_;
  policy::BalancerState &State = *Sim.Processes_[Process];
  if (Attempt.Ended_)
    return;
  policy::noteReport(State, Attempt.Server_, Attempt.Report_, timeOf(Sim.Now_));
  const policy::AttemptEnd End = Attempt.End_;
  endSimAttempt(Sim, Id, End);
  SimCall &Call = Sim.Calls_[CallId];
  if (End == policy::AttemptEnd::Answered) {
    endOthers(Sim, Call, policy::AttemptEnd::Cancelled);
    closeCall(Sim, CallId, true, false);
  } else if (std::any_of(
                 Call.Attempts_.begin(), Call.Attempts_.end(),
                 [&](unsigned A) { return !Sim.Attempts_[A].Ended_; })) {
    // A hedge is still under way.
  } else if (policy::mayRetry(State, Call.Facts_, End, timeOf(Sim.Now_))) {
    ++Sim.Retries_;
    follow(Sim, CallId, policy::admit(State, Call.Facts_, timeOf(Sim.Now_)));
  } else {
    closeCall(Sim, CallId, false, End != policy::AttemptEnd::AnsweredError);
  }
  releaseAll(Sim, Process);
}

inline void deadline(Simulation &Sim, unsigned CallId) {
  SimCall &Call = Sim.Calls_[CallId];
  if (Call.Done_)
    return;
  const unsigned Process = Call.Process_;
  policy::forgetWaiting(*Sim.Processes_[Process], CallId);
  endOthers(Sim, Call, policy::AttemptEnd::TimedOut);
  closeCall(Sim, CallId, false, Call.Attempts_.empty());
  releaseAll(Sim, Process);
}

inline void hedgeDue(Simulation &Sim, unsigned CallId) {
  const SimCall &Call = Sim.Calls_[CallId];
  const bool OneRuns =
      Call.Attempts_.size() == 1 && !Sim.Attempts_[Call.Attempts_[0]].Ended_;
  if (Call.Done_ || !OneRuns)
    return;
  const auto Server = policy::mayHedge(*Sim.Processes_[Call.Process_],
                                       Call.Facts_, timeOf(Sim.Now_));
  if (Server)
    send(Sim, CallId, *Server);
}

inline void tick(Simulation &Sim, unsigned Process) {
  constexpr SimTime Period = 5 * Ms;
  policy::BalancerState &State = *Sim.Processes_[Process];
  releaseAll(Sim, Process);
  for (const policy::ProbeOrder &Order :
       policy::dueProbes(State, timeOf(Sim.Now_))) {
    const auto Id = static_cast<unsigned>(Sim.Attempts_.size());
    Sim.Attempts_.push_back({NoCall, Order.Server_, Process, Sim.Now_});
    Sim.ProbeTimes_[Sim.Servers_[Order.Server_].Service_].push_back(Sim.Now_);
    schedule(Sim, Sim.Now_ + oneWay(Sim, Process, Order.Server_),
             EventType::AtServer, Id);
  }
  schedule(Sim, Sim.Now_ + Period, EventType::Tick, Process);
}

inline void probeReplied(Simulation &Sim, unsigned Id) {
  constexpr SimTime PeerDelay = 4 * Ms;
  const SimAttempt &Attempt = Sim.Attempts_[Id];
  policy::noteReport(*Sim.Processes_[Attempt.Process_], Attempt.Server_,
                     Attempt.Report_, timeOf(Sim.Now_));
  if (Sim.Arm_.ShareProbes_)
    schedule(Sim, Sim.Now_ + PeerDelay, EventType::SharedReport, Id);
}

inline void sharedReport(Simulation &Sim, unsigned Id) {
  const SimAttempt Attempt = Sim.Attempts_[Id];
  model::LoadReport Report = Attempt.Report_;
  Report.Age_ += model::milliseconds(4);
  for (unsigned P = 0; P < Sim.Processes_.size(); ++P)
    if (P != Attempt.Process_)
      policy::noteReport(*Sim.Processes_[P], Attempt.Server_, Report,
                         timeOf(Sim.Now_));
}

} // namespace detail

} // namespace cumingauge::bench
