#pragma once

#include "adapters/controlruntime.h"
#include "ctlsettings.h"
#include "model/change.h"
#include "model/event.h"
#include "model/processstatus.h"
#include "model/resultcode.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Reply of one entry process. Code_ is Ok when Status_ is set, otherwise the
/// reason why there is none: PeerUnreachable, PeerKeyInvalid or
/// PeerProtocolVersion.
struct ProcessReply {
  adapters::AddressSettings Address_;
  std::string Process_; ///< name, when known
  std::string Zone_;
  model::ResultCode Code_ = model::ResultCode::PeerUnreachable;
  std::optional<model::ProcessStatus> Status_;
  std::vector<model::Event> Events_;
  std::uint64_t DroppedEvents_ = 0;
};

/// Data requested from the entry processes in addition to their status.
struct FleetQuery {
  bool WithEvents_ = false;
  std::uint64_t EventsSinceMs_ = 0;
};

/// Requests the status of every entry process: those of the settings and all
/// members that they list, except dead ones and those that left. Returns after
/// CtlSettings::PeerTimeout_ at the latest.
std::vector<ProcessReply> queryFleet(const CtlSettings &Settings,
                                     const FleetQuery &Query);

/// Sends committed entries to a few entry processes, so that they take effect
/// even if the store fails right after the commit.
/// \returns how many of these processes report the last entry as in force.
unsigned pushEntries(const CtlSettings &Settings,
                     const std::vector<model::Change> &Entries);

} // namespace cumingauge::ctl
