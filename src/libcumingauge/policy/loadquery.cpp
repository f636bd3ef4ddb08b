#include "policy/loadquery.h"
#include "policy/choice.h"
#include "policy/coldservers.h"
#include "policy/homes.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Pace above which servers of other zones are queried too. A pace of 1 is the
/// usual speed; larger is slower.
constexpr double MaxNormalPace = 1.5;

const ServiceRecord *serviceOf(const BalancerState &State,
                               const CallFacts &Call) {
  const auto Found = State.ServiceByName_.find(Call.Route_.Service_);
  return Found == State.ServiceByName_.end() ? nullptr
                                             : &State.Services_[Found->second];
}

/// Returns whether the server may be used for the call, whatever its load is.
bool isCandidate(const BalancerState &State, ServerHandle Handle,
                 const CallFacts &Call, model::TimePoint Now) {
  const ServerRecord &Server = State.Servers_[Handle];
  return !Server.Draining_ && isHome(State, Call.Route_, Server) &&
         isColdCallDue(State, Server, Now) &&
         Server.Outlier_.EjectionState_ == EjectionState::Healthy &&
         std::find(Call.Tried_.begin(), Call.Tried_.end(), Handle) ==
             Call.Tried_.end();
}

/// Returns whether the subset has servers of the own zone.
bool hasServersInZone(const BalancerState &State,
                      const ServiceRecord &Service) {
  return std::any_of(
      Service.Subset_.begin(), Service.Subset_.end(),
      [&](ServerHandle Handle) { return State.Servers_[Handle].SameZone_; });
}

/// Returns whether the server needs no query: its last report is fresh, or a
/// query was sent so recently that the response may still come.
bool hasFreshOrPendingReport(const ServerRecord &Server,
                             const model::MeasuringBudget &Rule,
                             model::TimePoint Now) {
  return Now - Server.Report_.HeardAt_ < Rule.LoadQueryMinReportAge_ ||
         Now - Server.QueriedAt_ < Rule.LoadQueryTimeout_;
}

} // namespace

std::optional<LoadQueryRound> nextQueryRound(LoadQueryRound Round) {
  switch (Round) {
  case LoadQueryRound::OwnZone:
    return LoadQueryRound::RestOfZone;
  case LoadQueryRound::RestOfZone:
    return LoadQueryRound::OtherZones;
  case LoadQueryRound::OtherZones:
    return std::nullopt;
  }
  return std::nullopt;
}

std::vector<ServerHandle> serversToQuery(BalancerState &State,
                                         const CallFacts &Call,
                                         LoadQueryRound Round,
                                         model::TimePoint Now) {
  std::vector<ServerHandle> Out;
  const ServiceRecord *Service = serviceOf(State, Call);
  const model::MeasuringBudget &Rule = State.Preset_.Measuring_;
  if (!Service || Rule.LoadQueryCount_ == 0 || Service->Subset_.empty())
    return Out;
  // Without servers in the own zone, those of the others take their place.
  const bool HasOwn = hasServersInZone(State, *Service);
  const bool IsFar = HasOwn && Round == LoadQueryRound::OtherZones;
  const unsigned Width =
      IsFar ? Rule.RemoteZoneLoadQueryCount_ : Rule.LoadQueryCount_;
  const std::size_t Count = Service->Subset_.size();
  const std::size_t First = State.Random_(static_cast<std::uint32_t>(Count));
  unsigned Compared = 0;
  for (std::size_t I = 0; I < Count && Compared < Width; ++I) {
    const ServerHandle Handle = Service->Subset_[(First + I) % Count];
    ServerRecord &Server = State.Servers_[Handle];
    if ((HasOwn && Server.SameZone_ == IsFar) ||
        !isCandidate(State, Handle, Call, Now))
      continue;
    // In the first round the limit covers all servers compared, including those
    // that need no query; in later rounds it covers the queries only.
    const bool HasReport = hasFreshOrPendingReport(Server, Rule, Now);
    Compared += !HasReport || Round == LoadQueryRound::OwnZone;
    if (HasReport)
      continue;
    Server.QueriedAt_ = Now;
    Out.push_back(Handle);
  }
  return Out;
}

bool hasResponsiveServerInZone(const BalancerState &State,
                               const CallFacts &Call, model::TimePoint Now) {
  const ServiceRecord *Service = serviceOf(State, Call);
  if (!Service)
    return true;
  const bool HasOwn = hasServersInZone(State, *Service);
  return std::any_of(
      Service->Subset_.begin(), Service->Subset_.end(),
      [&](ServerHandle Handle) {
        const ServerRecord &Server = State.Servers_[Handle];
        return (Server.SameZone_ || !HasOwn) &&
               isCandidate(State, Handle, Call, Now) &&
               Now - Server.Report_.HeardAt_ <
                   2 * State.Preset_.Measuring_.LoadQueryMinReportAge_ &&
               Server.Pace_ < MaxNormalPace &&
               backlogOf(State, *Service, Server, Now).Calls_ + 1 <=
                   Server.Slots_;
      });
}

} // namespace cumingauge::policy
