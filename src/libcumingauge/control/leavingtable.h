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

/// Identifies a backend server on one VM. A server of the same name on a
/// replacement VM has another identity.
struct ServerIdentity {
  std::string Server_;
  std::string Vm_;
};
BOOST_DESCRIBE_STRUCT(ServerIdentity, (), (Server_, Vm_))

/// Backend servers that are leaving according to their own reports or the VM
/// list. An entry expires unless it is repeated; marks set by operators are
/// part of the configuration and do not expire.
struct LeavingTable {
  std::map<ServerIdentity, model::TimePoint> ExpiresAt_;
};

/// Time until a report that a server is leaving expires unless it is repeated.
/// Longer than the lag of the VM list.
constexpr model::seconds LeavingTtl{120};

/// Records that a server is leaving.
/// \returns true when this was not known, or is due to be passed on again.
bool recordLeaving(LeavingTable &Table, const ServerIdentity &Server,
                   model::TimePoint Now);

/// Removes expired entries.
/// \returns true when there were any.
bool dropExpired(LeavingTable &Table, model::TimePoint Now);

/// Returns the names of the servers that get no new work: marked by an
/// operator, or recorded here for the VM that the server is on now.
std::set<std::string> leavingServers(const LeavingTable &Table,
                                     const model::ConfigState &Config);

/// Returns the servers of the configuration that are on one of these VMs.
std::vector<ServerIdentity> serversOn(const std::set<std::string> &Vms,
                                      const model::ConfigState &Config);

} // namespace cumingauge::control
