#include "policy/look.h"
#include "policy/choice.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// A slower pace than this is worth a look at other zones.
constexpr double GoodPace = 1.5;

const ServiceRecord *serviceOf(const BalancerState &State,
                               const CallFacts &Call) {
  const auto Found = State.ServiceByName_.find(Call.Route_.Service_);
  return Found == State.ServiceByName_.end() ? nullptr
                                             : &State.Services_[Found->second];
}

bool isCandidate(const BalancerState &State, ServerHandle Handle,
                 const CallFacts &Call) {
  const ServerRecord &Server = State.Servers_[Handle];
  return !Server.Draining_ && Server.Outlier_.Standing_ == Standing::Good &&
         std::find(Call.Tried_.begin(), Call.Tried_.end(), Handle) ==
             Call.Tried_.end();
}

bool isKnown(const ServerRecord &Server, const model::MeasuringBudget &Rule,
             model::TimePoint Now) {
  return Now - Server.Report_.HeardAt_ < Rule.LookFresh_ ||
         Now - Server.LookedAt_ < Rule.LookWait_;
}

} // namespace

std::optional<LookRound> nextRound(LookRound Round) {
  switch (Round) {
  case LookRound::OwnZone:
    return LookRound::RestOfZone;
  case LookRound::RestOfZone:
    return LookRound::OtherZones;
  case LookRound::OtherZones:
    return std::nullopt;
  }
  return std::nullopt;
}

std::vector<ServerHandle> serversToLookAt(BalancerState &State,
                                          const CallFacts &Call,
                                          LookRound Round,
                                          model::TimePoint Now) {
  std::vector<ServerHandle> Out;
  const ServiceRecord *Service = serviceOf(State, Call);
  const model::MeasuringBudget &Rule = State.Preset_.Measuring_;
  if (!Service || Rule.LookWidth_ == 0 || Service->Subset_.empty())
    return Out;
  const bool IsFar = Round == LookRound::OtherZones;
  const unsigned Width = IsFar ? Rule.FarLookWidth_ : Rule.LookWidth_;
  const std::size_t Count = Service->Subset_.size();
  const std::size_t First = State.Random_(static_cast<std::uint32_t>(Count));
  unsigned Seen = 0;
  for (std::size_t I = 0; I < Count && Seen < Width; ++I) {
    const ServerHandle Handle = Service->Subset_[(First + I) % Count];
    ServerRecord &Server = State.Servers_[Handle];
    if (Server.SameZone_ == IsFar || !isCandidate(State, Handle, Call))
      continue;
    // The first round compares so many servers, known ones included.
    const bool Known = isKnown(Server, Rule, Now);
    Seen += !Known || Round == LookRound::OwnZone;
    if (Known)
      continue;
    Server.LookedAt_ = Now;
    Out.push_back(Handle);
  }
  return Out;
}

bool hasGoodServerNear(const BalancerState &State, const CallFacts &Call,
                       model::TimePoint Now) {
  const ServiceRecord *Service = serviceOf(State, Call);
  if (!Service)
    return true;
  return std::any_of(Service->Subset_.begin(), Service->Subset_.end(),
                     [&](ServerHandle Handle) {
                       const ServerRecord &Server = State.Servers_[Handle];
                       return Server.SameZone_ &&
                              isCandidate(State, Handle, Call) &&
                              Now - Server.Report_.HeardAt_ <
                                  2 * State.Preset_.Measuring_.LookFresh_ &&
                              Server.Pace_ < GoodPace &&
                              backlogOf(State, *Service, Server, Now).Calls_ +
                                      1 <=
                                  Server.Slots_;
                     });
}

} // namespace cumingauge::policy
