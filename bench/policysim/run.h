#pragma once

#include "policysim/simulation.h"

/// Arrivals, disturbances and the results of a run.
namespace cumingauge::bench {

namespace detail {

/// Draws the next arrival at a service, creates the call that arrives now and
/// has a process decide on it.
inline void handleArrival(Simulation &Sim, unsigned Service) {
  const ServiceLoad &Load = Sim.Cell_.Deployment_.Services_[Service];
  const double Rate = Sim.Cell_.Load_ * capacityOf(Sim.Cell_.Deployment_, Load);
  auto &Draws = Sim.ArrivalDraws_;
  const double GapNs = -std::log(1 - uniform(Draws)) / Rate * Second;
  schedule(Sim, Sim.Now_ + static_cast<SimTime>(GapNs), EventType::Arrive,
           Service);
  std::discrete_distribution<unsigned> AnyProcess(Sim.ArrivalWeight_.begin(),
                                                  Sim.ArrivalWeight_.end());
  std::vector<double> Shares;
  for (const RouteLoad &Route : Load.Routes_)
    Shares.push_back(Route.Share_);
  const bool InBurst = Sim.Cell_.Disturbance_ == Disturbance::Burst &&
                       Sim.Now_ > 3 * Second && Sim.Now_ < 5 * Second;
  constexpr unsigned BurstFactor = 8;
  const unsigned Process = AnyProcess(Draws);
  const unsigned Index =
      std::discrete_distribution<unsigned>(Shares.begin(), Shares.end())(Draws);
  const RouteLoad &Route = Load.Routes_[Index];
  constexpr double Sigma = 0.7;
  const double MeanNs = Route.MeanMs_ * Ms;
  const double Work = std::lognormal_distribution<double>(
      std::log(MeanNs) - Sigma * Sigma / 2, Sigma)(Draws);
  unsigned Caller = static_cast<unsigned>(uniform(Draws) * Callers);
  // One caller of 40 that sends 20 times its share sends 20 of 59 calls.
  if (Sim.Cell_.Disturbance_ == Disturbance::Greedy &&
      uniform(Draws) < 19.0 / 59.0)
    Caller = 0;
  const unsigned Copies =
      InBurst && Route.Route_.Priority_ == model::Priority::Patient
          ? BurstFactor
          : 1;
  for (unsigned Copy = 0; Copy < Copies; ++Copy) {
    const auto Id = static_cast<unsigned>(Sim.Calls_.size());
    SimCall Call;
    Call.Facts_.Call_ = Id;
    Call.Facts_.Caller_ = "caller" + std::to_string(Caller);
    Call.Facts_.Route_ = Route.Route_;
    Call.Facts_.Arrived_ = toTimePoint(Sim.Now_);
    Call.Facts_.Deadline_ = toTimePoint(Sim.Now_) + Route.Route_.Deadline_;
    Call.Process_ = (Process + Copy) % Sim.Cell_.Deployment_.Processes_;
    Call.Service_ = Service;
    Call.Caller_ = Caller;
    Call.WorkNs_ = Work;
    Sim.Calls_.push_back(Call);
    schedule(Sim, Sim.Now_ + Route.Route_.Deadline_.count() * Ms,
             EventType::Deadline, Id);
    applyDecision(Sim, Id,
                  policy::admit(*Sim.Processes_[Call.Process_],
                                Sim.Calls_[Id].Facts_, toTimePoint(Sim.Now_)));
  }
}

/// Draws new server speeds, a quarter of them slow and the mean time of a call
/// unchanged, and shifts the arrivals between the processes.
inline void redrawSpeeds(Simulation &Sim) {
  for (ServerModel &Server : Sim.Servers_)
    Server.Speed_ = uniform(Sim.ServerDraws_) < 0.25 ? 0.5 : 1.5;
  for (double &Weight : Sim.ArrivalWeight_)
    Weight = 0.2 + 1.6 * uniform(Sim.ServerDraws_);
  schedule(Sim, Sim.Now_ + 5 * Ms, EventType::RedrawSpeeds, 0);
}

/// Drains the servers in turn, a new one every 500 ms. One second after a
/// server has begun to drain the view marks it as leaving, and after two
/// seconds a new VM replaces it.
inline void handleDrainStep(Simulation &Sim, unsigned Step, unsigned Place) {
  const unsigned Places = static_cast<unsigned>(Sim.Places_.size());
  if (Step == 0) {
    const unsigned Next = Sim.NextDrainPlace_++ % Places;
    Sim.Servers_[Sim.Places_[Next]].Draining_ = true;
    schedule(Sim, Sim.Now_ + Second, EventType::DrainStep, 1, Next);
    schedule(Sim, Sim.Now_ + 2 * Second, EventType::DrainStep, 2, Next);
    schedule(Sim, Sim.Now_ + Second / 2, EventType::DrainStep, 0);
    return;
  }
  const std::string Name = Sim.Servers_[Place].Name_;
  if (Step == 1) {
    Sim.Leaving_.insert(Name);
  } else {
    Sim.Leaving_.erase(Name);
    addServer(Sim, Place, Sim.Servers_[Sim.Places_[Place]].Generation_ + 1);
  }
  publishView(Sim);
}

/// Makes the servers of the first zone cold.
inline void makeZoneCold(Simulation &Sim) {
  constexpr SimTime ColdTime = 3 * Second;
  for (ServerModel &Server : Sim.Servers_) {
    if (Server.Zone_ != 0)
      continue;
    Server.ColdUntil_ = Sim.Now_ + ColdTime;
    model::BackendServer &Listed = Sim.Config_->Servers_[Server.Name_];
    Listed.ColdFor_ = model::milliseconds(ColdTime / Ms);
    ++Listed.ColdSpell_;
  }
}

/// Evacuates the first zone, and takes it back with cold servers.
inline void handleZoneStep(Simulation &Sim, unsigned Step) {
  const std::string &Zone = Sim.Cell_.Deployment_.Zones_[0];
  if (Step == 0 && Sim.Cell_.Disturbance_ == Disturbance::Evacuation) {
    Sim.Config_->EvacuatedZones_.insert(Zone);
    schedule(Sim, Sim.Now_ + 2 * Second, EventType::ZoneStep, 1);
  } else {
    Sim.Config_->EvacuatedZones_.erase(Zone);
    makeZoneCold(Sim);
  }
  publishView(Sim);
}

/// Starts the disturbance of the run.
inline void applyDisturbance(Simulation &Sim) {
  const Disturbance Kind = Sim.Cell_.Disturbance_;
  unsigned Place = 0;
  for (const ServiceLoad &Load : Sim.Cell_.Deployment_.Services_) {
    for (unsigned I = 0; I < Load.Servers_; ++I, ++Place) {
      ServerModel &Server = Sim.Servers_[Place];
      if (Kind == Disturbance::SlowOne && I == 0)
        Server.Speed_ = 0.1;
      if (Kind == Disturbance::FailFast && I == 0)
        Server.Failing_ = true;
      if (Kind == Disturbance::FailThird && I % 3 == 0)
        Server.Failing_ = true;
      if (Kind == Disturbance::Noisy && I % 2 == 0)
        Server.Speed_ = 0.5;
      if (Kind == Disturbance::Stuck && I % 2 == 0)
        Server.Stuck_ = true;
    }
  }
  if (Kind == Disturbance::Moving)
    redrawSpeeds(Sim);
  if (Kind == Disturbance::RollingDrain)
    schedule(Sim, 2 * Second, EventType::DrainStep, 0);
  if (Kind == Disturbance::Evacuation || Kind == Disturbance::ColdZone)
    schedule(Sim, 3 * Second, EventType::ZoneStep, 0);
}

/// Creates servers, processes and the first events.
inline void setUp(Simulation &Sim) {
  const Deployment &Where = Sim.Cell_.Deployment_;
  const auto Zones = static_cast<unsigned>(Where.Zones_.size());
  Sim.Config_ = std::make_shared<model::ConfigState>();
  Sim.Config_->Presets_["arm"] = Sim.Arm_.Preset_;
  Sim.Config_->PresetInForce_ = "arm";
  for (unsigned S = 0; S < Where.Services_.size(); ++S)
    for (unsigned I = 0; I < Where.Services_[S].Servers_; ++I) {
      ServerModel Server;
      // The names sort in the order of the handles.
      Server.Name_ = std::to_string(100 + Sim.Servers_.size());
      Server.Service_ = S;
      Server.Zone_ = I % Zones;
      Server.Slots_ = Where.Slots_;
      Sim.Config_->Servers_[Server.Name_] = {Server.Name_,
                                             "vm0" + Server.Name_,
                                             Where.Services_[S].Name_,
                                             Where.Zones_[Server.Zone_],
                                             "127.0.0.1",
                                             1,
                                             Where.Slots_};
      Sim.Places_.push_back(static_cast<unsigned>(Sim.Servers_.size()));
      Sim.Servers_.push_back(Server);
    }
  const unsigned Processes = Where.Processes_;
  const unsigned Warm = Sim.Arm_.Preset_.Servers_.WarmConnections_;
  Sim.OpenConnections_.assign(Processes,
                              std::vector<unsigned>(Sim.Servers_.size(), Warm));
  Sim.BusyConnections_.assign(Processes,
                              std::vector<unsigned>(Sim.Servers_.size(), 0));
  Sim.ArrivalWeight_.assign(Processes, 1);
  Sim.ProbeTimes_.resize(Where.Services_.size());
  for (unsigned P = 0; P < Processes; ++P) {
    Sim.Processes_.push_back(policy::makeBalancer(
        Where.Zones_[P % Zones], 1, Sim.Cell_.Seed_ * 1000 + P, 0));
    schedule(Sim, static_cast<SimTime>(P) * 300000, EventType::Tick, P);
  }
  publishView(Sim);
  for (unsigned S = 0; S < Where.Services_.size(); ++S)
    schedule(Sim, 0, EventType::Arrive, S);
  applyDisturbance(Sim);
}

inline void handleEvent(Simulation &Sim, const SimEvent &Event) {
  switch (Event.Type_) {
  case EventType::Arrive:
    return handleArrival(Sim, Event.A_);
  case EventType::AtServer:
    return handleArrivalAtServer(Sim, Event.A_);
  case EventType::Finished:
    return handleFinished(Sim, Event.A_);
  case EventType::Reply:
    return handleReply(Sim, Event.A_);
  case EventType::CancelAtServer:
    return handleCancel(Sim, Event.A_);
  case EventType::Deadline:
    return handleDeadline(Sim, Event.A_);
  case EventType::HedgeDue:
    return handleHedgeDue(Sim, Event.A_);
  case EventType::Tick:
    return handleTick(Sim, Event.A_);
  case EventType::ProbeReply:
    return handleProbeReply(Sim, Event.A_);
  case EventType::SharedReport:
    return handleSharedReport(Sim, Event.A_);
  case EventType::RedrawSpeeds:
    return redrawSpeeds(Sim);
  case EventType::ZoneStep:
    return handleZoneStep(Sim, Event.A_);
  case EventType::DrainStep:
  case EventType::ViewChange:
    return handleDrainStep(Sim, Event.A_, Event.B_);
  }
}

/// Returns a quantile of the values, or 0 without values. Reorders them.
inline double quantile(std::vector<double> &Values, double Q) {
  if (Values.empty())
    return 0;
  const auto Place =
      static_cast<std::size_t>(Q * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Place),
                   Values.end());
  return Values[Place];
}

/// Returns the largest number of \p Times within any second.
inline double maxInAnySecond(const std::vector<SimTime> &Times) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= Second)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return static_cast<double>(Most);
}

/// Computes the results of a finished run.
inline Outcome outcomeOf(Simulation &Sim) {
  Outcome Out;
  Out.P50Ms_ = quantile(Sim.UrgentMs_, 0.5);
  Out.P99Ms_ = quantile(Sim.UrgentMs_, 0.99);
  Out.P999Ms_ = quantile(Sim.UrgentMs_, 0.999);
  Out.OthersP99Ms_ = quantile(Sim.OthersMs_, 0.99);
  Out.PatientP99Ms_ = quantile(Sim.PatientMs_, 0.99);
  const double Offered = static_cast<double>(std::max(Sim.Counted_, 1ul));
  Out.GoodputShare_ =
      static_cast<double>(Sim.Good_) / Offered * Sim.Cell_.Load_;
  Out.UrgentOk_ = static_cast<double>(Sim.UrgentGood_) /
                  static_cast<double>(std::max(Sim.Urgent_, 1ul));
  Out.NotRunShare_ = static_cast<double>(Sim.NotRun_) / Offered;
  const auto First = static_cast<double>(std::max(Sim.FirstAttempts_, 1ul));
  Out.ExtraWork_ = static_cast<double>(Sim.Extra_) / First;
  Out.RetryShare_ = static_cast<double>(Sim.Retries_) / First;
  std::size_t Probes = 0;
  for (const auto &Times : Sim.ProbeTimes_) {
    Probes += Times.size();
    Out.MaxProbesInASecond_ =
        std::max(Out.MaxProbesInASecond_, maxInAnySecond(Times));
  }
  Out.ProbesPerSecond_ = static_cast<double>(Probes) / Sim.Cell_.Seconds_;
  Out.RefusalMs_ = Sim.RefusalMs_;
  Out.ColdCrashes_ = Sim.ColdCrashes_;
  Out.MostColdCallsInASecond_ = static_cast<unsigned>(Sim.MostColdCalls_);
  for (const SimCall &Call : Sim.Calls_)
    Out.RanTwice_ += !Call.Facts_.Route_.Idempotent_ && Call.Runs_ > 1;
  return Out;
}

} // namespace detail

/// Runs the model of one cell with one arm and returns the results.
inline Outcome runCell(const Cell &Cell, const Arm &Arm) {
  Simulation Sim(Cell, Arm);
  Sim.ArrivalDraws_.seed(Cell.Seed_);
  Sim.ServerDraws_.seed(Cell.Seed_ + 7777);
  detail::setUp(Sim);
  const auto End = static_cast<SimTime>(Cell.Seconds_ * Second);
  while (!Sim.Events_.empty() && Sim.Events_.top().At_ < End) {
    const SimEvent Event = Sim.Events_.top();
    Sim.Events_.pop();
    Sim.Now_ = Event.At_;
    detail::handleEvent(Sim, Event);
  }
  return detail::outcomeOf(Sim);
}

} // namespace cumingauge::bench
