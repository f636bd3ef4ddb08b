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

/// What one entry process answered. Code_ is Ok with a status; otherwise why
/// there is none: PeerUnreachable, PeerKeyInvalid, PeerProtocolVersion.
struct ProcessReply {
  adapters::AddressSettings Address_;
  std::string Process_; ///< name, when known
  std::string Zone_;
  model::ResultCode Code_ = model::ResultCode::PeerUnreachable;
  std::optional<model::ProcessStatus> Status_;
  std::vector<model::Event> Events_;
  std::uint64_t DroppedEvents_ = 0;
};

/// What to ask the entry processes for.
struct FleetQuestion {
  bool WithEvents_ = false;
  std::uint64_t EventsSinceMs_ = 0;
};

/// Asks every entry process: those of the settings and all live members that
/// they know of.
std::vector<ProcessReply> askFleet(const CtlSettings &Settings,
                                   const FleetQuestion &Question);

/// Hands committed entries to a few entry processes, so that they take effect
/// though the store fails a moment later.
/// \returns how many of them had the last entry in force at the end.
unsigned handOver(const CtlSettings &Settings,
                  const std::vector<model::Change> &Entries);

} // namespace cumingauge::ctl
