#include "control/serverreports.h"
#include "control/corestate.h"

namespace cumingauge::control {

namespace {

/// Maximum number of reports sent per tick; more would exceed the byte budget
/// of the links.
constexpr std::size_t MaxObservationsPerTick = 4;

ServerObservation leavingObservation(const ServerIdentity &Server) {
  ServerObservation Out;
  Out.Server_ = Server.Server_;
  Out.Vm_ = Server.Vm_;
  Out.Report_.Draining_ = true;
  return Out;
}

} // namespace

void applyLeavingReport(CoreState &State, const ServerIdentity &Server,
                        std::optional<LinkId> From) {
  if (!recordLeaving(State.Leaving_, Server, State.Now_))
    return;
  State.ViewChanged_ = true;
  const auto Message = std::make_shared<const PeerMessage>(
      ServerReports{{leavingObservation(Server)}});
  for (const Link *To : peerLinks(State.Links_))
    if (To->Id_ != From)
      emitCommand(State, SendPeer{To->Id_, Message});
}

void handleServerReport(CoreState &State,
                        const ServerObservation &Observation) {
  if (Observation.Report_.Draining_) {
    applyLeavingReport(State, {Observation.Server_, Observation.Vm_},
                       std::nullopt);
    return;
  }
  if (State.ObservationsToSend_.size() < MaxObservationsPerTick)
    State.ObservationsToSend_.push_back(Observation);
}

void handleServerReports(CoreState &State, const Link &From,
                         const ServerReports &Message) {
  std::vector<ServerObservation> Reports;
  for (const ServerObservation &Observation : Message.Sightings_) {
    if (Observation.Report_.Draining_)
      applyLeavingReport(State, {Observation.Server_, Observation.Vm_},
                         From.Id_);
    else
      Reports.push_back(Observation);
  }
  if (!Reports.empty())
    emitCommand(State, PublishObservations{std::move(Reports)});
}

void sendObservations(CoreState &State) {
  if (dropExpired(State.Leaving_, State.Now_))
    State.ViewChanged_ = true;
  if (State.ObservationsToSend_.empty())
    return;
  const auto Message = std::make_shared<const PeerMessage>(
      ServerReports{std::move(State.ObservationsToSend_)});
  State.ObservationsToSend_.clear();
  for (const Link *To : peerLinks(State.Links_))
    if (To->Peer_.Zone_ == State.Settings_.Self_.Zone_)
      emitCommand(State, SendPeer{To->Id_, Message});
}

} // namespace cumingauge::control
