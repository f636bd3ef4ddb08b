#pragma once

#include "control/peermessage.h"
#include "model/configstate.h"
#include "model/time.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cumingauge::control {

using boost::describe::operators::operator<;

/// A backend server on one VM: a replaced VM under the same name is another.
struct ServerIdentity {
  std::string Server_;
  std::string Vm_;
};
BOOST_DESCRIBE_STRUCT(ServerIdentity, (), (Server_, Vm_))

/// Servers that leave by their own word or by the VM list. An entry lapses
/// unless it is repeated; the operators' marks are kept elsewhere and do not
/// lapse.
struct LeavingTable {
  std::map<ServerIdentity, model::TimePoint> ExpiresAt_;
};

/// How long a word of leaving holds without being repeated. Longer than the
/// lag of the VM list.
constexpr model::seconds LeavingTtl{120};

/// Notes that a server leaves.
/// \returns true when this was not known, or is due to be passed on again.
bool recordLeaving(LeavingTable &Table, const ServerIdentity &Server,
                   model::TimePoint Now);

/// Drops what has lapsed; true when there was any.
bool dropExpired(LeavingTable &Table, model::TimePoint Now);

/// Names of the servers that get no new work: marked by the operators, or
/// noted here for the VM that the server is on now.
std::set<std::string> leavingServers(const LeavingTable &Table,
                                     const model::ConfigState &Config);

/// Servers of the configuration on one of these VMs.
std::vector<ServerIdentity> serversOn(const std::set<std::string> &Vms,
                                      const model::ConfigState &Config);

} // namespace cumingauge::control
