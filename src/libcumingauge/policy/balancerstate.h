#pragma once

#include "model/controlview.h"
#include "policy/balancer.h"
#include "policy/choicereason.h"
#include "policy/serverrecord.h"
#include "policy/servicerecord.h"
#include "policy/threadrank.h"
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace cumingauge::policy {

/// State of one traffic thread between decisions.
struct BalancerState {
  std::string Zone_;
  unsigned Threads_ = 1;
  std::optional<unsigned> Thread_; ///< number of this thread, from 0
  pcg32 Random_;
  std::shared_ptr<const model::ControlView> View_;
  model::Preset Preset_; ///< preset in force; the defaults before one is chosen
  unsigned FleetThreads_ = 1;         ///< traffic threads of the whole fleet
  std::vector<ServerRecord> Servers_; ///< by handle
  std::vector<ServiceRecord> Services_;
  std::unordered_map<std::string, std::uint32_t> ServiceByName_;
  std::unordered_map<std::string, ServerHandle> ServerByIdentity_;
  std::vector<Release>
      Evicted_;         ///< refused calls that the next releaseWaiting returns
  unsigned Queued_ = 0; ///< queued calls of all services
  std::vector<ServerHandle>
      Paused_;                     ///< servers that wanted no calls for a time
  std::vector<ServerHandle> Cold_; ///< servers that were cold at the last look
  model::TimePoint StartedAt_;     ///< when the first view was applied
  ReasonCounts Reasons_{};
};

/// Returns the rank of this thread among the traffic threads of the fleet.
/// Threads that do not know their number have the rank of their process among
/// all processes.
ThreadRank fleetRank(const BalancerState &State);

/// Returns the key of a server in ServerByIdentity_.
std::string identityKey(const std::string &Name, const std::string &Vm);

} // namespace cumingauge::policy
