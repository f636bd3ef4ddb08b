#pragma once

#include "policysim/simulationstate.h"

/// Events at the modelled backend servers.
namespace cumingauge::bench::detail {

/// Ends an attempt at its server and sends the reply with a load report.
inline void sendReply(Simulation &Sim, unsigned Id, policy::AttemptEnd End) {
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

/// Starts to run an attempt in a free slot.
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

/// Starts queued attempts while slots are free.
inline void startQueued(Simulation &Sim, unsigned ServerId) {
  ServerModel &Server = Sim.Servers_[ServerId];
  while (Server.Running_ < Server.Slots_ && !Server.Queue_.empty()) {
    const unsigned Id = Server.Queue_.front();
    Server.Queue_.pop_front();
    startRun(Sim, Id);
  }
  recordLoad(Server, Sim.Now_);
}

/// Counts a call at a cold server. One that gets more than it bears crashes and
/// fails calls for a second.
inline void recordColdCall(Simulation &Sim, ServerModel &Server) {
  constexpr std::size_t MaxColdCalls = 53; // 1.5 times 30, and 8
  auto &Calls = Server.ColdCalls_;
  Calls.push_back(Sim.Now_);
  while (Calls.front() <= Sim.Now_ - Second)
    Calls.pop_front();
  Sim.MostColdCalls_ = std::max(Sim.MostColdCalls_, Calls.size());
  if (Calls.size() <= MaxColdCalls || Sim.Now_ < Server.FailingUntil_)
    return;
  ++Sim.ColdCrashes_;
  Server.FailingUntil_ = Sim.Now_ + Second;
}

/// Handles the arrival of an attempt at its server.
inline void handleArrivalAtServer(Simulation &Sim, unsigned Id) {
  constexpr std::size_t ShedQueuePerSlot = 10;
  constexpr SimTime FailTime = Ms / 5;
  SimAttempt &Attempt = Sim.Attempts_[Id];
  ServerModel &Server = Sim.Servers_[Attempt.Server_];
  if (Attempt.Phase_ != AttemptPhase::InTransit)
    return;
  if (Server.Draining_)
    return sendReply(Sim, Id, policy::AttemptEnd::Draining);
  if (Attempt.Call_ != NoCall && Sim.Now_ < Server.ColdUntil_)
    recordColdCall(Sim, Server);
  if (Server.Failing_ || Sim.Now_ < Server.FailingUntil_) {
    Sim.Now_ += FailTime;
    sendReply(Sim, Id, policy::AttemptEnd::AnsweredError);
    Sim.Now_ -= FailTime;
    return;
  }
  if (Server.Queue_.size() >= ShedQueuePerSlot * Server.Slots_)
    return sendReply(Sim, Id, policy::AttemptEnd::Shed);
  Attempt.Phase_ = AttemptPhase::Queued;
  Server.Queue_.push_back(Id);
  startQueued(Sim, Attempt.Server_);
}

/// Handles the end of an attempt's run at its server.
inline void handleFinished(Simulation &Sim, unsigned Id) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  if (Attempt.Phase_ != AttemptPhase::Running)
    return;
  --Sim.Servers_[Attempt.Server_].Running_;
  startQueued(Sim, Attempt.Server_);
  sendReply(Sim, Id, policy::AttemptEnd::Answered);
}

/// Handles the arrival of a cancellation at the attempt's server.
inline void handleCancel(Simulation &Sim, unsigned Id) {
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
