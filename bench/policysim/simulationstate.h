#pragma once

#include "model/controlview.h"
#include "policy/balancer.h"
#include "policysim/scenario.h"
#include "policysim/servermodel.h"
#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

/// A discrete-event model of entry processes and backend servers. The balancing
/// decisions are made by the real code; servers, network and callers are
/// modelled.
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
  RedrawSpeeds,
  DrainStep,
  ZoneStep,
  ViewChange,
};

/// An event at a point in time. What the arguments A_ and B_ mean depends on
/// the type: a service, process, attempt, call, or step and place of a drain.
struct SimEvent {
  SimTime At_ = 0;
  std::uint64_t Order_ = 0;
  EventType Type_ = EventType::Tick;
  unsigned A_ = 0;
  unsigned B_ = 0;
  /// Reversed, because the event queue pops the largest element first.
  bool operator<(const SimEvent &Other) const {
    return At_ != Other.At_ ? At_ > Other.At_ : Order_ > Other.Order_;
  }
};

enum class AttemptPhase { InTransit, Queued, Running, Done };

struct SimAttempt {
  unsigned Call_ = 0; ///< index of the call, or NoCall for a probe
  unsigned Server_ = 0;
  unsigned Process_ = 0;
  SimTime Sent_ = 0;
  AttemptPhase Phase_ = AttemptPhase::InTransit;
  bool Ended_ = false; ///< has ended for the entry process
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

/// State and counters of one run.
struct Simulation {
  Simulation(const Cell &Cell, const Arm &Arm) : Cell_(Cell), Arm_(Arm) {}

  const Cell &Cell_;
  const Arm &Arm_;
  SimTime Now_ = 0;
  std::uint64_t Order_ = 0;
  std::priority_queue<SimEvent> Events_;
  std::vector<ServerModel> Servers_; ///< by handle
  std::vector<unsigned> Places_;     ///< current server of each place, by index
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
  unsigned NextDrainPlace_ = 0;
  unsigned ColdCrashes_ = 0;
  std::size_t MostColdCalls_ = 0;
};

namespace detail {

/// Converts model time to a time point, which starts at 1000 s.
inline model::TimePoint toTimePoint(SimTime At) {
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

/// Returns the one-way network delay between a process and a server.
inline SimTime oneWay(const Simulation &Sim, unsigned Process,
                      unsigned Server) {
  constexpr double InZoneMs = 0.1;
  const bool Same = zoneOf(Sim, Process) == Sim.Servers_[Server].Zone_;
  return static_cast<SimTime>(
      (Same ? InZoneMs : Sim.Cell_.Deployment_.OneWayMs_) * Ms);
}

/// Returns the calls per second that a service's servers can run when
/// undisturbed.
inline double capacityOf(const Deployment &Where, const ServiceLoad &Load) {
  double MeanMs = 0;
  for (const RouteLoad &Route : Load.Routes_)
    MeanMs += Route.Share_ * Route.MeanMs_;
  return Load.Servers_ * Where.Slots_ * 1000.0 / MeanMs;
}

/// Applies the current configuration and leaving servers in all processes.
inline void publishView(Simulation &Sim) {
  auto View = std::make_shared<model::ControlView>();
  View->Config_ = std::make_shared<model::ConfigState>(*Sim.Config_);
  View->LeavingServers_ = Sim.Leaving_;
  View->FleetSize_ = Sim.Cell_.Deployment_.Processes_;
  View->ProberCount_ = View->FleetSize_;
  View->Confirmed_ = true;
  std::vector<model::ProcessPlace> Processes;
  for (unsigned P = 0; P < Sim.Processes_.size(); ++P)
    Processes.push_back({"front-" + std::to_string(P),
                         Sim.Cell_.Deployment_.Zones_[zoneOf(Sim, P)]});
  View->Processes_ = std::make_shared<const std::vector<model::ProcessPlace>>(
      std::move(Processes));
  for (unsigned P = 0; P < Sim.Processes_.size(); ++P) {
    auto Own = std::make_shared<model::ControlView>(*View);
    Own->FleetRank_ = P;
    Own->Process_ = "front-" + std::to_string(P);
    Own->ProberRank_ = P;
    policy::applyView(*Sim.Processes_[P], Own, toTimePoint(Sim.Now_));
  }
}

/// Replaces the server in a place by one on a new VM, which is cold for a
/// second.
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

/// Returns the current speed of a server; a cold server runs at a third.
inline double speedOf(const Simulation &Sim, const ServerModel &Server) {
  return Server.Speed_ * (Sim.Now_ < Server.ColdUntil_ ? 0.33 : 1);
}

} // namespace detail

} // namespace cumingauge::bench
