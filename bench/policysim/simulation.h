#pragma once

#include "policy/coldservers.h"
#include "policysim/serverside.h"

/// Events at the entry processes. The balancing decisions are made by the real
/// code.
namespace cumingauge::bench::detail {

/// Sends an attempt of a call to a server, with a delay when it needs a new
/// connection.
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

/// Ends an attempt at its entry process.
inline void endSimAttempt(Simulation &Sim, unsigned Id,
                          policy::AttemptEnd End) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  SimCall &Call = Sim.Calls_[Attempt.Call_];
  Attempt.Ended_ = true;
  --Sim.BusyConnections_[Call.Process_][Attempt.Server_];
  policy::endAttempt(
      *Sim.Processes_[Call.Process_], Call.Facts_, Attempt.Server_, End,
      model::Duration(Sim.Now_ - Attempt.Sent_), toTimePoint(Sim.Now_));
}

/// Ends the attempts of a call that are still running and cancels them at their
/// servers.
inline void endOtherAttempts(Simulation &Sim, SimCall &Call,
                             policy::AttemptEnd End) {
  for (const unsigned Id : Call.Attempts_) {
    SimAttempt &Attempt = Sim.Attempts_[Id];
    if (Attempt.Ended_)
      continue;
    endSimAttempt(Sim, Id, End);
    schedule(Sim, Sim.Now_ + oneWay(Sim, Call.Process_, Attempt.Server_),
             EventType::CancelAtServer, Id);
  }
}

/// Ends a call and counts its result, unless it arrived during the warm-up.
inline void recordCallEnd(Simulation &Sim, unsigned CallId, bool Good,
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

inline void applyDecision(Simulation &Sim, unsigned CallId,
                          const policy::Decision &Made);

/// Carries out the decisions on queued calls of a process.
inline void releaseQueuedCalls(Simulation &Sim, unsigned Process) {
  for (const policy::Release &Next :
       policy::releaseWaiting(*Sim.Processes_[Process], toTimePoint(Sim.Now_)))
    applyDecision(Sim, static_cast<unsigned>(Next.Call_), Next.Decision_);
}

inline void applyDecision(Simulation &Sim, unsigned CallId,
                          const policy::Decision &Made) {
  SimCall &Call = Sim.Calls_[CallId];
  if (Made.Verdict_ == policy::Verdict::Wait)
    return;
  if (Made.Verdict_ == policy::Verdict::Refuse) {
    const double LateMs =
        double((toTimePoint(Sim.Now_) - Call.Facts_.Deadline_).count()) / Ms;
    Sim.RefusalMs_ = std::max(Sim.RefusalMs_, LateMs);
    return recordCallEnd(Sim, CallId, false, true);
  }
  const bool First = Call.Attempts_.empty();
  send(Sim, CallId, Made.Server_);
  if (!First)
    return;
  const auto Hedge = policy::hedgeTime(*Sim.Processes_[Call.Process_],
                                       Call.Facts_, toTimePoint(Sim.Now_));
  if (Hedge)
    schedule(Sim, Sim.Now_ + (*Hedge - toTimePoint(Sim.Now_)).count(),
             EventType::HedgeDue, CallId);
}

/// Handles a reply: ends the call, retries it or waits for its other attempt.
inline void handleReply(Simulation &Sim, unsigned Id) {
  SimAttempt &Attempt = Sim.Attempts_[Id];
  const unsigned CallId = Attempt.Call_;
  const unsigned Process = Attempt.Process_;
  policy::BalancerState &State = *Sim.Processes_[Process];
  if (Attempt.Ended_)
    return;
  policy::recordReport(State, Attempt.Server_, Attempt.Report_,
                       toTimePoint(Sim.Now_));
  const policy::AttemptEnd End = Attempt.End_;
  endSimAttempt(Sim, Id, End);
  SimCall &Call = Sim.Calls_[CallId];
  if (End == policy::AttemptEnd::Answered) {
    endOtherAttempts(Sim, Call, policy::AttemptEnd::Cancelled);
    recordCallEnd(Sim, CallId, true, false);
  } else if (std::any_of(
                 Call.Attempts_.begin(), Call.Attempts_.end(),
                 [&](unsigned A) { return !Sim.Attempts_[A].Ended_; })) {
    // Another attempt is still running.
  } else if (policy::tryRetry(State, Call.Facts_, End, toTimePoint(Sim.Now_))) {
    ++Sim.Retries_;
    applyDecision(Sim, CallId,
                  policy::admit(State, Call.Facts_, toTimePoint(Sim.Now_)));
  } else {
    recordCallEnd(Sim, CallId, false, End != policy::AttemptEnd::AnsweredError);
  }
  releaseQueuedCalls(Sim, Process);
}

/// Ends a call whose deadline has passed.
inline void handleDeadline(Simulation &Sim, unsigned CallId) {
  SimCall &Call = Sim.Calls_[CallId];
  if (Call.Done_)
    return;
  const unsigned Process = Call.Process_;
  policy::removeFromQueue(*Sim.Processes_[Process], CallId);
  endOtherAttempts(Sim, Call, policy::AttemptEnd::TimedOut);
  recordCallEnd(Sim, CallId, false, Call.Attempts_.empty());
  releaseQueuedCalls(Sim, Process);
}

/// Sends a hedge for a call if exactly one attempt is running and the budget
/// allows it.
inline void handleHedgeDue(Simulation &Sim, unsigned CallId) {
  const SimCall &Call = Sim.Calls_[CallId];
  const bool OneRuns =
      Call.Attempts_.size() == 1 && !Sim.Attempts_[Call.Attempts_[0]].Ended_;
  if (Call.Done_ || !OneRuns)
    return;
  const auto Server = policy::tryHedge(*Sim.Processes_[Call.Process_],
                                       Call.Facts_, toTimePoint(Sim.Now_));
  if (Server)
    send(Sim, CallId, *Server);
}

/// Does the periodic work of a process: queued calls and probes.
inline void handleTick(Simulation &Sim, unsigned Process) {
  constexpr SimTime Period = 5 * Ms;
  policy::BalancerState &State = *Sim.Processes_[Process];
  policy::endColdPhases(State, toTimePoint(Sim.Now_));
  releaseQueuedCalls(Sim, Process);
  for (const policy::DueProbe &Order :
       policy::dueProbes(State, toTimePoint(Sim.Now_))) {
    const auto Id = static_cast<unsigned>(Sim.Attempts_.size());
    Sim.Attempts_.push_back({NoCall, Order.Server_, Process, Sim.Now_});
    Sim.ProbeTimes_[Sim.Servers_[Order.Server_].Service_].push_back(Sim.Now_);
    schedule(Sim, Sim.Now_ + oneWay(Sim, Process, Order.Server_),
             EventType::AtServer, Id);
  }
  schedule(Sim, Sim.Now_ + Period, EventType::Tick, Process);
}

/// Handles the reply to a probe at the process that sent it.
inline void handleProbeReply(Simulation &Sim, unsigned Id) {
  constexpr SimTime PeerDelay = 4 * Ms;
  const SimAttempt &Attempt = Sim.Attempts_[Id];
  policy::recordReport(*Sim.Processes_[Attempt.Process_], Attempt.Server_,
                       Attempt.Report_, toTimePoint(Sim.Now_));
  if (Sim.Arm_.ShareProbes_)
    schedule(Sim, Sim.Now_ + PeerDelay, EventType::SharedReport, Id);
}

/// Applies the report of a probe at the other processes.
inline void handleSharedReport(Simulation &Sim, unsigned Id) {
  const SimAttempt Attempt = Sim.Attempts_[Id];
  model::LoadReport Report = Attempt.Report_;
  Report.Age_ += model::milliseconds(4);
  for (unsigned P = 0; P < Sim.Processes_.size(); ++P)
    if (P != Attempt.Process_)
      policy::recordReport(*Sim.Processes_[P], Attempt.Server_, Report,
                           toTimePoint(Sim.Now_));
}

} // namespace cumingauge::bench::detail
