#pragma once

#include "model/controlview.h"
#include "policy/balancer.h"
#include "policy/choicereason.h"
#include "policy/fleetplace.h"
#include "policy/serverrecord.h"
#include "policy/servicerecord.h"
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace cumingauge::policy {

/// All that one traffic thread remembers between decisions.
struct BalancerState {
  std::string Zone_;
  unsigned Threads_ = 1;
  std::optional<unsigned> Thread_; ///< number of this thread, from 0
  pcg32 Random_;
  std::shared_ptr<const model::ControlView> View_;
  model::Preset Preset_;  ///< in force, or defaults before the first choice
  unsigned Deciders_ = 1; ///< traffic threads of the whole fleet
  std::vector<ServerRecord> Servers_; ///< by handle
  std::vector<ServiceRecord> Services_;
  std::unordered_map<std::string, std::uint32_t> ServiceByName_;
  std::unordered_map<std::string, ServerHandle> ServerByIdentity_;
  std::vector<Release> Evicted_; ///< refused, to be told by releaseWaiting
  unsigned Queued_ = 0;          ///< over all services
  ReasonCounts Reasons_{};
};

/// Place of this thread. Threads that do not know their number have the place
/// of their process among all processes.
FleetPlace fleetPlace(const BalancerState &State);

/// Key of a server in ServerByIdentity_.
std::string identityKey(const std::string &Name, const std::string &Vm);

} // namespace cumingauge::policy
