#pragma once

#include "policysim/simulationstate.h"

/// What happens at the modelled backend servers.
namespace cumingauge::bench::detail {

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

} // namespace cumingauge::bench::detail
